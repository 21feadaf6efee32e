package switchgap.testbed.scenario;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.yaml.snakeyaml.LoaderOptions;
import org.yaml.snakeyaml.Yaml;
import org.yaml.snakeyaml.constructor.SafeConstructor;
import switchgap.config.YamlDocument;
import switchgap.testbed.emulator.ClientSettings;
import switchgap.testbed.emulator.ClientTransport;
import switchgap.testbed.emulator.EmulatedClients;
import switchgap.testbed.emulator.FunctionCatalogue;
import switchgap.testbed.emulator.RequestClassProfile;
import switchgap.testbed.emulator.Scheduler;
import switchgap.testbed.emulator.WorkerHardware;

/**
 * A scenario as described by its YAML document: worker fleet, routers, load, fault script and seed.
 * Workers and routers are identified by an index that starts at 0. Immutable.
 */
public final class Scenario {
  private static final double MICROS_PER_SECOND = 1e6;

  private final ScenarioSettings settings;
  private final FleetComposition fleet;
  private final RouterConfigWriter routerConfigWriter;

  private Scenario(ScenarioSettings settings, Map<String, Object> document) {
    this.settings = settings;
    this.fleet = new FleetComposition(settings);
    this.routerConfigWriter = new RouterConfigWriter(settings, document);
  }

  /**
   * Reads a scenario.
   *
   * @param path file with the YAML document
   * @return the scenario
   * @throws IOException if the file cannot be read
   * @throws switchgap.config.InvalidConfigException if the document is invalid; the message names
   *     file, line and key
   */
  public static Scenario read(Path path) throws IOException {
    String text = Files.readString(path);
    YamlDocument document = YamlDocument.read(path.toString(), text);
    Map<String, Object> plainDocument =
        new Yaml(new SafeConstructor(new LoaderOptions())).load(text);
    return new Scenario(ScenarioReader.read(document, path), plainDocument);
  }

  ScenarioSettings settings() {
    return settings;
  }

  /** Name of the scenario; the file name without extension if the document has none. */
  public String name() {
    return settings.timing().name();
  }

  /** Seed of all random number generators. */
  public long seed() {
    return settings.timing().seed();
  }

  /** Number of workers when the scenario starts. */
  public int workerCount() {
    return settings.fleet().workerCount();
  }

  /** Number of routers. */
  public int routerCount() {
    return settings.routers().count();
  }

  /** Number of workers per cell. */
  public int cellSize() {
    return settings.fleet().cellSize();
  }

  /** Number of concurrent fetches that the store serves at full speed. */
  public double storeCapacity() {
    return settings.store().capacity();
  }

  /** How long the store is unavailable after an overload, in microseconds. */
  public long storeOutage() {
    return settings.store().outage();
  }

  /** Delay until routers are notified of a change to the endpoint list, in microseconds. */
  public long listLag() {
    return settings.listLag();
  }

  /** Whether the workers' responses report utilization and queue length. */
  public boolean reportsLoad() {
    return settings.fleet().reportsLoad();
  }

  /** Entries of the fault script, in document order. */
  public List<ScenarioFault> faults() {
    return List.copyOf(settings.faults());
  }

  /** Share of the requests by tenant, in document order. */
  public Map<String, Double> tenantShares() {
    return settings.tenantShares();
  }

  /** Index of the zone of a router or worker. */
  public int zoneIndex(int index) {
    return settings.zoneIndex(index);
  }

  /** Name of the zone of a router or worker. */
  public String zoneName(int index) {
    return settings.zones().get(zoneIndex(index));
  }

  /** Name of the kind of a worker; kinds differ in their hardware. */
  public String kindName(int worker) {
    return fleet.kindOf(worker).name();
  }

  /** Compute capacity of a worker, as a number of cores of speed 1. */
  public double computeCapacityOf(int worker) {
    return fleet.computeCapacityOf(worker);
  }

  /** Hardware and limits of the worker with this index. */
  public WorkerHardware hardwareOf(int worker) {
    return fleet.hardwareOf(worker);
  }

  /** Generates the functions of the scenario from a seed. */
  public FunctionCatalogue catalogue(long seed) {
    return new FunctionCatalogue(
        settings.functionGroups(), settings.load().functions(), settings.load().zipf(), seed);
  }

  /**
   * Creates the clients of the scenario.
   *
   * @param scheduler schedules arrivals, timeouts and retries
   * @param transport sends the attempts to the routers
   * @param catalogue functions that the clients call
   * @param seed seed of the clients' random number generator
   * @return the clients; they do not send yet
   */
  public EmulatedClients clients(
      Scheduler scheduler, ClientTransport transport, FunctionCatalogue catalogue, long seed) {
    return new EmulatedClients(
        scheduler,
        transport,
        catalogue,
        new ClientSettings(
            settings.profiles(),
            settings.load().retries(),
            settings.load().rate(),
            RouterShares.of(routerCount(), settings.routers().busiestShare()),
            tenantShares(),
            seed));
  }

  /**
   * Generates the configuration of one router.
   *
   * @param index index of the router
   * @param port port on which the router listens
   * @param listPort port of the endpoint list service
   * @param catalogue functions of the scenario
   * @return the configuration as YAML
   */
  public String routerConfig(int index, int port, int listPort, FunctionCatalogue catalogue) {
    return routerConfig(index, port, listPort, catalogue, Map.of());
  }

  /**
   * Generates the configuration of one router and overrides some values of the scenario.
   *
   * @param index index of the router
   * @param port port on which the router listens
   * @param listPort port of the endpoint list service
   * @param catalogue functions of the scenario
   * @param overrides values as YAML, by {@code section.key}
   * @return the configuration as YAML
   */
  public String routerConfig(
      int index,
      int port,
      int listPort,
      FunctionCatalogue catalogue,
      Map<String, String> overrides) {
    return routerConfigWriter.write(index, port, listPort, catalogue, overrides);
  }

  /** Compute capacity of all workers at the start, as a number of cores of speed 1. */
  public double fleetCapacity() {
    return fleet.totalComputeCapacity();
  }

  /** Mean work per request, in seconds on one core of speed 1. */
  public double meanWork() {
    return settings.functionGroups().stream()
        .mapToDouble(group -> group.share() * group.work() / MICROS_PER_SECOND)
        .sum();
  }

  /** Requests per second of all clients together. */
  public double requestRate() {
    return settings.load().rate();
  }

  /** Longest timeout of all request classes, in microseconds. */
  public long longestTimeout() {
    return settings.profiles().stream().mapToLong(RequestClassProfile::timeout).max().orElse(0);
  }

  /**
   * Contribution of one request class to the traffic.
   *
   * @param share share of all requests that belong to this class
   * @param weight priority weight of a response that meets its latency objective
   * @param relativeWork work per request, relative to the mean over all classes
   */
  public record TrafficShare(double share, double weight, double relativeWork) {}

  /** Traffic of each request class, in the order of the classes. */
  public List<TrafficShare> trafficShares() {
    List<TrafficShare> shares = new ArrayList<>();
    for (ScenarioSettings.RequestClassSpec requestClass : settings.requestClasses()) {
      FunctionCatalogue.FunctionGroup functions = requestClass.functions();
      shares.add(
          new TrafficShare(
              functions.share(),
              requestClass.profile().priorityWeight(),
              functions.work() / MICROS_PER_SECOND / meanWork()));
    }
    return shares;
  }

  /**
   * Number of pending requests at a router from which a static threshold rejects all request
   * classes except those with the highest priority weight: twice the router's share of two thirds
   * of the fleet's execution slots, where each worker is treated as if it had one core.
   *
   * @return the threshold, 2 or higher
   */
  public int staticPendingLimit() {
    int totalSlots = workerCount() * settings.fleet().limits().slotsPerCore();
    return Math.max(2, 2 * totalSlots * 2 / routerCount() / 3);
  }
}

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
 * A scenario as its document states it: fleet, routers, load, fault script and seed. Workers and
 * routers are numbered from 0. Immutable.
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
   * @param path a YAML document
   * @return the scenario
   * @throws IOException if the file can't be read
   * @throws switchgap.config.InvalidConfigException if the document has a mistake, with file, line
   *     and key
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

  /** The name of the scenario. */
  public String name() {
    return settings.timing().name();
  }

  /** The seed of all random draws. */
  public long seed() {
    return settings.timing().seed();
  }

  /** Number of workers at the start. */
  public int workers() {
    return settings.fleet().workers();
  }

  /** Number of routers. */
  public int routers() {
    return settings.routers().count();
  }

  /** Number of workers in a cell. */
  public int cellSize() {
    return settings.fleet().cellSize();
  }

  /** Concurrent fetches that the store serves at full speed. */
  public double storeCapacity() {
    return settings.store().capacity();
  }

  /** How long the store stops after an overload, microseconds. */
  public long storeOutage() {
    return settings.store().outage();
  }

  /** Delay with which routers learn of changes to the endpoint list, microseconds. */
  public long listLag() {
    return settings.listLag();
  }

  /** Whether workers report utilization and queue length. */
  public boolean reportsLoad() {
    return settings.fleet().reportsLoad();
  }

  /** The fault script, in the document's order. */
  public List<ScenarioFault> faults() {
    return List.copyOf(settings.faults());
  }

  /** Share of the requests by tenant, in the document's order. */
  public Map<String, Double> tenantShares() {
    return settings.tenantShares();
  }

  /** Index of the zone of a router or worker. */
  public int zoneOf(int number) {
    return settings.zoneIndex(number);
  }

  /** Name of the zone of a router or worker. */
  public String zone(int number) {
    return settings.zones().get(zoneOf(number));
  }

  /** Name of a worker's kind. */
  public String kindName(int worker) {
    return fleet.kindOf(worker).name();
  }

  /** Compute capacity of a worker in cores of speed 1. */
  public double computeCapacityOf(int worker) {
    return fleet.computeCapacityOf(worker);
  }

  /** Hardware of a worker. */
  public WorkerHardware hardwareOf(int worker) {
    return fleet.hardwareOf(worker);
  }

  /** The functions of the scenario, drawn with a seed. */
  public FunctionCatalogue catalogue(long seed) {
    return new FunctionCatalogue(
        settings.functionGroups(), settings.load().functions(), settings.load().zipf(), seed);
  }

  /** The clients of the scenario, drawn with a seed; they send through the transport. */
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
            RouterShares.of(routers(), settings.routers().busiestShare()),
            tenantShares(),
            seed));
  }

  /**
   * The configuration of one router.
   *
   * @param number of the router
   * @param port that it listens at
   * @param listPort of the endpoint list service
   * @param catalogue functions of the scenario
   * @return the configuration as YAML
   */
  public String routerConfig(int number, int port, int listPort, FunctionCatalogue catalogue) {
    return routerConfig(number, port, listPort, catalogue, Map.of());
  }

  /**
   * The configuration of one router, with some values in place of the scenario's.
   *
   * @param overrides values as YAML, by {@code section.key}
   */
  public String routerConfig(
      int number,
      int port,
      int listPort,
      FunctionCatalogue catalogue,
      Map<String, String> overrides) {
    return routerConfigWriter.write(number, port, listPort, catalogue, overrides);
  }

  /** Work that the fleet does in a second, in seconds of a core of speed 1. */
  public double fleetCapacity() {
    return fleet.totalComputeCapacity();
  }

  /** Mean work of a request, in seconds of a core of speed 1. */
  public double meanWork() {
    return settings.functionGroups().stream()
        .mapToDouble(group -> group.share() * group.work() / MICROS_PER_SECOND)
        .sum();
  }

  /** Requests a second of all clients together. */
  public double requestRate() {
    return settings.load().rate();
  }

  /** The longest timeout of a request class, microseconds. */
  public long longestTimeout() {
    return settings.profiles().stream().mapToLong(RequestClassProfile::timeout).max().orElse(0);
  }

  /**
   * One request class's part of the traffic.
   *
   * @param share of all requests
   * @param weight what a response in time earns
   * @param relativeWork work of a request, as a ratio to the mean over all classes
   */
  public record TrafficShare(double share, double weight, double relativeWork) {}

  /** Parts of the traffic, in the order of the request classes. */
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
   * Number of pending requests at a router at which a static limit rejects all but the most
   * important: twice the router's part of two thirds of the fleet's slots.
   */
  public int staticPendingLimit() {
    int totalSlots = workers() * settings.fleet().limits().slotsPerCore();
    return Math.max(2, 2 * totalSlots * 2 / routers() / 3);
  }
}

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

/** A scenario as its document states it: fleet, routers, load, fault script and seed. Immutable. */
public final class Scenario {
  private static final double MICROS_PER_SECOND = 1e6;
  private static final double GOLDEN_RATIO_FRACTION = 0.618034; // spreads the worker kinds evenly

  /**
   * One entry of the fault script. Times are in microseconds.
   *
   * @param startsAt start, counted from the start of the scenario
   * @param type what fails
   * @param duration how long it lasts
   * @param share share of the candidates that are affected: workers, functions, requests or routers
   * @param strength its strength; depending on the type a factor, a share, a number or seconds
   * @param target the tenant or zone that is affected, null for the first one
   */
  public record Fault(
      long startsAt, FaultType type, long duration, double share, double strength, String target) {}

  private final ScenarioSettings settings;
  private final RouterConfigWriter routerConfigs;

  private Scenario(ScenarioSettings settings, Map<String, Object> document) {
    this.settings = settings;
    this.routerConfigs = new RouterConfigWriter(settings, document);
  }

  /**
   * Reads a scenario.
   *
   * @throws switchgap.config.InvalidConfigException for a mistake, with file, line and key
   */
  public static Scenario read(Path path) throws IOException {
    String text = Files.readString(path);
    YamlDocument document = YamlDocument.read(path.toString(), text);
    Map<String, Object> plain = new Yaml(new SafeConstructor(new LoaderOptions())).load(text);
    return new Scenario(ScenarioReader.read(document, path), plain);
  }

  ScenarioSettings settings() {
    return settings;
  }

  /** Its name. */
  public String name() {
    return settings.timing().name();
  }

  /** Seed of all random draws. */
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

  /** Workers of a cell. */
  public int cellSize() {
    return settings.fleet().cellSize();
  }

  /** Concurrent fetches that the store serves at full speed. */
  public double storeCapacity() {
    return settings.store().capacity();
  }

  /** Microseconds that the store stops for after overload. */
  public long storeOutage() {
    return settings.store().outage();
  }

  /** Delay of changes of the endpoint list, microseconds. */
  public long listLag() {
    return settings.listLag();
  }

  /** Whether workers report utilization and queue length. */
  public boolean reportsLoad() {
    return settings.fleet().reportsLoad();
  }

  /** The fault script. */
  public List<Fault> faults() {
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

  private ScenarioSettings.WorkerKind kindOf(int worker) {
    double draw = (worker * GOLDEN_RATIO_FRACTION) % 1;
    for (ScenarioSettings.WorkerKind kind : settings.fleet().kinds()) {
      if (draw < kind.share()) {
        return kind;
      }
      draw -= kind.share();
    }
    return settings.fleet().kinds().get(0);
  }

  /** Name of a worker's kind. */
  public String kindName(int worker) {
    return kindOf(worker).name();
  }

  /** Compute capacity of a worker in cores of speed 1. */
  public double computeCapacityOf(int worker) {
    return kindOf(worker).cores() * kindOf(worker).speed();
  }

  /** Hardware of a worker. */
  public WorkerHardware hardwareOf(int worker) {
    ScenarioSettings.WorkerKind kind = kindOf(worker);
    ScenarioSettings.WorkerLimits limits = settings.fleet().limits();
    ScenarioSettings.InvariantLimits rules = settings.limits();
    return new WorkerHardware(
        new WorkerHardware.Compute(
            kind.cores(),
            kind.speed(),
            limits.slotsPerCore() * kind.cores(),
            limits.queuePerCore() * kind.cores()),
        new WorkerHardware.ReplicaLimits(
            kind.memoryMb(),
            limits.concurrentLoads(),
            limits.keepAlive(),
            settings.loadsOnMiss(),
            limits.eagerLoads(),
            limits.fetchShare(),
            limits.loadFailureShare()),
        new WorkerHardware.WarmUp(
            rules.initialCapacityShare(),
            rules.warmUpTime(),
            rules.crashMultiple(),
            rules.crashWindow()));
  }

  /** The functions, drawn with a seed. */
  public FunctionCatalogue catalogue(long seed) {
    return new FunctionCatalogue(
        settings.functionGroups(), settings.load().functions(), settings.load().zipf(), seed);
  }

  /** The clients, drawn with a seed; they send through the transport. */
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
            routerShares(),
            tenantShares(),
            seed));
  }

  /**
   * The first router receives its stated share; the others share the rest in proportion to 1, 1/2,
   * 1/3.
   */
  private double[] routerShares() {
    int routers = routers();
    double busiestShare = settings.routers().busiestShare();
    double[] shares = new double[routers];
    double rest = routers == 1 ? 1 : 1 - busiestShare;
    double sum = 0;
    for (int i = 1; i < routers; i++) {
      sum += 1.0 / i;
    }
    shares[0] = routers == 1 ? 1 : busiestShare;
    for (int i = 1; i < routers; i++) {
      shares[i] = rest / i / sum;
    }
    return shares;
  }

  /** The configuration of one router, as YAML. */
  public String routerConfig(int number, int port, int listPort, FunctionCatalogue catalogue) {
    return routerConfig(number, port, listPort, catalogue, Map.of());
  }

  /** The same with some values in place of the scenario's, by {@code section.key}. */
  public String routerConfig(
      int number,
      int port,
      int listPort,
      FunctionCatalogue catalogue,
      Map<String, String> overrides) {
    return routerConfigs.write(number, port, listPort, catalogue, overrides);
  }

  /** Work that the fleet can do in a second, in seconds of a core of speed 1. */
  public double fleetCapacity() {
    double sum = 0;
    for (int i = 0; i < workers(); i++) {
      sum += computeCapacityOf(i);
    }
    return sum;
  }

  /** Seconds of work of a mean request. */
  public double meanWork() {
    return settings.functionGroups().stream()
        .mapToDouble(group -> group.share() * group.work() / MICROS_PER_SECOND)
        .sum();
  }

  /** Requests a second. */
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
    for (ScenarioSettings.RequestClass requestClass : settings.requestClasses()) {
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
    int slots = workers() * settings.fleet().limits().slotsPerCore();
    return Math.max(2, 2 * slots * 2 / routers() / 3);
  }
}

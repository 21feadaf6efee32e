package switchgap.testbed.scenario;

import java.util.List;
import java.util.Map;
import switchgap.testbed.emulator.FunctionCatalogue;
import switchgap.testbed.emulator.RequestClassProfile;
import switchgap.testbed.emulator.RetryPolicy;

/**
 * What a scenario's document states. Times in microseconds.
 *
 * @param timing its name, length and seed
 * @param zones names of the zones, one at least
 * @param fleet the workers
 * @param store the store that functions are fetched from
 * @param listLag delay of changes of the endpoint list
 * @param routers the routers
 * @param load what clients send
 * @param requestClasses by index of the request class
 * @param tenantShares share of the requests by tenant, in the document's order
 * @param loadsOnMiss whether a request for a function that is not loaded loads it
 * @param limits what the invariants are checked against
 * @param faults the fault script
 */
record ScenarioSettings(
    Timing timing,
    List<String> zones,
    Fleet fleet,
    Store store,
    long listLag,
    Routers routers,
    Load load,
    List<RequestClass> requestClasses,
    Map<String, Double> tenantShares,
    boolean loadsOnMiss,
    InvariantLimits limits,
    List<Scenario.Fault> faults) {

  /**
   * {@code slack}: tolerance of the checks for the clocks and threads of one machine; {@code tick}:
   * a router's.
   */
  record Timing(String name, long length, long seed, long slack, String tick) {}

  /** A kind of worker: its share of the fleet and its hardware. */
  record WorkerKind(String name, double share, int cores, double speed, double memoryMb) {}

  /** The workers: how many, how they are grouped, and what each kind is. */
  record Fleet(
      int workers,
      int cellSize,
      WorkerLimits limits,
      boolean reportsLoad,
      List<WorkerKind> kinds) {}

  /**
   * What every worker allows and how it loads; see {@link
   * switchgap.testbed.emulator.WorkerHardware}.
   */
  record WorkerLimits(
      int slotsPerCore,
      int queuePerCore,
      int concurrentLoads,
      long keepAlive,
      double fetchShare,
      double loadFailureShare,
      boolean eagerLoads) {}

  /** Concurrent fetches at full speed, and how long the store stops for after overload. */
  record Store(double capacity, long outage) {}

  /** {@code busiestShare}: share of the requests that the first router receives. */
  record Routers(
      int count, double busiestShare, boolean ownProcesses, boolean ownPlanners, int maxAttempts) {}

  /**
   * {@code rate}: requests a second; {@code zipf}: exponent of the popularity of {@code functions}.
   */
  record Load(double rate, double zipf, int functions, RetryPolicy retries) {}

  /** A request class as its clients and as its functions see it. */
  record RequestClass(
      RepeatRule repeatRule,
      RequestClassProfile profile,
      FunctionCatalogue.FunctionGroup functions) {}

  /** Bounds of the invariants: drain grace, cold start and load ration. */
  record InvariantLimits(
      long drainGrace,
      double initialCapacityShare,
      long warmUpTime,
      double crashMultiple,
      long crashWindow,
      double freeLoads,
      double loadsPerRequest,
      long loadWindow) {}

  List<RequestClassProfile> profiles() {
    return requestClasses.stream().map(RequestClass::profile).toList();
  }

  List<FunctionCatalogue.FunctionGroup> functionGroups() {
    return requestClasses.stream().map(RequestClass::functions).toList();
  }

  /** The zone of a router or worker. */
  int zoneIndex(int number) {
    return number % zones.size();
  }
}

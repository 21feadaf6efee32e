package switchgap.testbed.scenario;

import java.util.List;
import java.util.Map;
import switchgap.policy.api.Idempotency;
import switchgap.testbed.emulator.ClientRetryPolicy;
import switchgap.testbed.emulator.FunctionCatalogue;
import switchgap.testbed.emulator.RequestClassProfile;

/**
 * What a scenario's document states. Times in microseconds.
 *
 * @param timing its name, length and seed
 * @param zones names of the zones, one at the least
 * @param fleet the workers
 * @param store the store that functions are fetched from
 * @param listLag delay of changes of the endpoint list
 * @param routers the routers
 * @param load what clients send
 * @param requestClasses the request classes, by index
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
    List<RequestClassSpec> requestClasses,
    Map<String, Double> tenantShares,
    boolean loadsOnMiss,
    InvariantLimits limits,
    List<ScenarioFault> faults) {

  /**
   * The scenario as a whole.
   *
   * @param name of the scenario
   * @param length how long clients send
   * @param seed of all random draws
   * @param slack tolerance of the checks for the clocks and threads of one machine
   * @param tick of the routers' event loops
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

  /**
   * The routers.
   *
   * @param count how many
   * @param busiestShare share of the requests that the first router receives
   * @param ownProcesses whether each runs in a process of its own
   * @param ownPlanners whether each has a planner, in one more process
   * @param maxAttempts for one request
   */
  record Routers(
      int count, double busiestShare, boolean ownProcesses, boolean ownPlanners, int maxAttempts) {}

  /**
   * What clients send.
   *
   * @param rate requests a second
   * @param zipf exponent of the popularity of the functions
   * @param functions number of functions
   * @param retries how clients retry
   */
  record Load(double rate, double zipf, int functions, ClientRetryPolicy retries) {}

  /** A request class as its clients and as its functions see it. */
  record RequestClassSpec(
      Idempotency idempotency,
      RequestClassProfile profile,
      FunctionCatalogue.FunctionGroup functions) {}

  /**
   * Bounds of the invariants.
   *
   * @param drainGrace how long requests may be sent to a worker that is listed as draining
   * @param initialCapacityShare share of its capacity that a worker has when it starts cold
   * @param warmUpTime until a worker has its full capacity
   * @param crashMultiple a worker crashes at this multiple of its capacity
   * @param crashWindow over which the work of a worker is summed up
   * @param freeLoads load commands within a window that need no requests
   * @param loadsPerRequest load commands that each request within a window allows
   * @param loadWindow over which load commands and requests are counted, 0 for no quota
   */
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
    return requestClasses.stream().map(RequestClassSpec::profile).toList();
  }

  List<FunctionCatalogue.FunctionGroup> functionGroups() {
    return requestClasses.stream().map(RequestClassSpec::functions).toList();
  }

  /** The zone of a router or worker. */
  int zoneIndex(int number) {
    return number % zones.size();
  }
}

package switchgap.testbed.scenario;

import java.util.List;
import java.util.Map;
import switchgap.policy.api.Idempotency;
import switchgap.testbed.emulator.ClientRetryPolicy;
import switchgap.testbed.emulator.FunctionCatalogue;
import switchgap.testbed.emulator.RequestClassProfile;

/**
 * Settings of a scenario, as read from its document. Times are in microseconds.
 *
 * @param timing name, length and seed of the scenario, tolerance of the checks and tick interval
 * @param zones names of the zones, at least one
 * @param fleet the workers that run at the start
 * @param store the store from which workers fetch functions
 * @param listLag delay until routers are notified of a change to the endpoint list
 * @param routers number of the routers and how they are run
 * @param load rate and retries of the clients, and the number of functions
 * @param requestClasses the request classes, in document order
 * @param tenantShares share of the requests by tenant, in document order
 * @param loadsOnMiss whether a worker that has not loaded the requested function loads it
 * @param invariantLimits thresholds of the invariants
 * @param faults entries of the fault script, in document order
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
    InvariantLimits invariantLimits,
    List<ScenarioFault> faults) {

  /**
   * Name, length and seed of a scenario, tolerance of the checks and tick interval.
   *
   * @param name name of the scenario
   * @param length how long clients send new requests
   * @param seed seed of all random number generators
   * @param slack tolerance of the checks for clock differences and thread scheduling delays
   * @param tick tick interval of the routers, as text with its unit
   */
  record Timing(String name, long length, long seed, long slack, String tick) {}

  /**
   * A kind of worker.
   *
   * @param name name of the kind
   * @param share share of the fleet that is of this kind
   * @param cores number of cores
   * @param speed speed of a core; work is stated for a core of speed 1
   * @param memoryMb memory for replicas, in MB
   */
  record WorkerKind(String name, double share, int cores, double speed, double memoryMb) {}

  /**
   * The workers.
   *
   * @param workerCount number of workers at the start
   * @param cellSize number of workers per cell
   * @param limits limits that hold for every worker
   * @param reportsLoad whether responses report utilization and queue length
   * @param kinds kinds of workers, in document order
   */
  record Fleet(
      int workerCount,
      int cellSize,
      WorkerLimits limits,
      boolean reportsLoad,
      List<WorkerKind> kinds) {}

  /**
   * Limits of every worker and the behaviour of its loads; see {@link
   * switchgap.testbed.emulator.WorkerHardware}.
   *
   * @param slotsPerCore concurrent executions per core
   * @param queuePerCore queued requests per core
   * @param concurrentLoads maximum number of concurrent loads
   * @param keepAlive time after which an idle function is unloaded
   * @param fetchShare share of the load time that is spent on fetching from the store
   * @param loadFailureShare share of the loads that fail
   * @param eagerLoads whether a request that finds all slots busy starts the load of a further
   *     replica
   */
  record WorkerLimits(
      int slotsPerCore,
      int queuePerCore,
      int concurrentLoads,
      long keepAlive,
      double fetchShare,
      double loadFailureShare,
      boolean eagerLoads) {}

  /**
   * The store of the functions.
   *
   * @param capacity number of concurrent fetches at full speed
   * @param outage how long the store is unavailable after an overload
   */
  record Store(double capacity, long outage) {}

  /**
   * The routers.
   *
   * @param count number of routers
   * @param busiestShare share of the requests that the first router receives
   * @param ownProcesses whether each router runs in a separate process
   * @param ownPlanners whether each router has a planner, which runs in a further process
   * @param maxAttempts maximum number of attempts per request
   */
  record Routers(
      int count, double busiestShare, boolean ownProcesses, boolean ownPlanners, int maxAttempts) {}

  /**
   * Load that the clients generate.
   *
   * @param rate requests per second
   * @param zipf exponent of the Zipf distribution of the functions' popularity
   * @param functions number of functions
   * @param retries retry policy of the clients
   */
  record Load(double rate, double zipf, int functions, ClientRetryPolicy retries) {}

  /**
   * A request class.
   *
   * @param idempotency whether its requests may be executed more than once
   * @param profile timeouts, weight and retries, as clients use them
   * @param functions functions that its requests call
   */
  record RequestClassSpec(
      Idempotency idempotency,
      RequestClassProfile profile,
      FunctionCatalogue.FunctionGroup functions) {}

  /**
   * Thresholds of the invariants.
   *
   * @param drainGrace how long requests may be sent to a worker after it was listed as draining
   * @param initialCapacityShare share of the full capacity that a worker has after a cold start
   * @param warmUpTime time from a cold start to full capacity
   * @param crashMultiple multiple of its capacity at which a worker crashes while it warms up
   * @param crashWindow time window over which the work that a worker receives is summed
   * @param freeLoads load commands per window that are allowed without any request
   * @param loadsPerRequest further load commands per window that each request allows
   * @param loadWindow time window over which load commands and requests are counted, 0 for no quota
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

  /** Index of the zone of a router or worker; indexes are assigned to zones in turn. */
  int zoneIndex(int index) {
    return index % zones.size();
  }
}

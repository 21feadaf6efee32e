package switchgap.testbed.emulator;

/**
 * The capabilities of an emulated worker. Times are in microseconds.
 *
 * @param compute cores, execution slots and queue limit
 * @param replicaLimits limits of memory and loads of replicas
 * @param warmUp capacity after a cold start
 */
public record WorkerHardware(Compute compute, ReplicaLimits replicaLimits, WarmUp warmUp) {
  /**
   * Cores and limits of concurrent executions.
   *
   * @param cores number of cores
   * @param speed speed of a core, relative to a reference core
   * @param slots maximum number of running executions, including those that wait for I/O
   * @param queueLimit maximum number of executions in flight in addition to {@code slots}
   */
  public record Compute(int cores, double speed, int slots, int queueLimit) {}

  /**
   * Limits of memory and loads, and when replicas are loaded and unloaded.
   *
   * @param memoryMb memory for replicas in MB
   * @param concurrentLoads maximum number of concurrent loads
   * @param keepAlive time after which an idle function is unloaded
   * @param loadsOnMiss whether a request for a function without a replica loads one; otherwise the
   *     request fails
   * @param eagerLoads whether a request loads one more replica when the function's slots are all
   *     busy and no load is pending
   * @param fetchShare share of a load's time that is spent on the fetch
   * @param loadFailureShare probability that a load fails after its fetch
   */
  public record ReplicaLimits(
      double memoryMb,
      int concurrentLoads,
      long keepAlive,
      boolean loadsOnMiss,
      boolean eagerLoads,
      double fetchShare,
      double loadFailureShare) {}

  /**
   * The behaviour after a cold start.
   *
   * @param initialCapacityShare share of the full capacity at the start
   * @param duration time from the start to full capacity
   * @param crashMultiple multiple of its current capacity above which a worker crashes during the
   *     warm-up
   * @param crashWindow time window over which the arriving work is compared with the capacity
   */
  public record WarmUp(
      double initialCapacityShare, long duration, double crashMultiple, long crashWindow) {}
}

package switchgap.testbed.emulator;

/**
 * What an emulated worker is capable of. Times in microseconds.
 *
 * @param compute cores, slots and queue
 * @param replicas memory and loads of replicas
 * @param warmUp capacity after a cold start
 */
public record WorkerHardware(Compute compute, ReplicaLimits replicas, WarmUp warmUp) {
  /**
   * Cores and executions.
   *
   * @param cores number of cores
   * @param speed speed of a core
   * @param slots executions that run at a time
   * @param queueLimit executions that wait beyond these
   */
  public record Compute(int cores, double speed, int slots, int queueLimit) {}

  /**
   * Memory and loads.
   *
   * @param memoryMb memory for replicas in MB
   * @param concurrentLoads loads at a time
   * @param keepAlive time after which an idle function is unloaded
   * @param loadsOnMiss whether a request for a function that is not loaded loads it
   * @param eagerLoads whether a request that finds all slots busy loads one replica more
   * @param fetchShare share of a load's time that is spent on fetching
   * @param loadFailureShare share of the loads that fail
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
   * A cold start.
   *
   * @param initialCapacityShare share of the capacity at the start
   * @param duration time from the start to full capacity
   * @param crashMultiple multiple of its capacity at which a worker crashes while it warms up
   * @param crashWindow window over which that is measured
   */
  public record WarmUp(
      double initialCapacityShare, long duration, double crashMultiple, long crashWindow) {}
}

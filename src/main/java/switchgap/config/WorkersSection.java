package switchgap.config;

import java.time.Duration;

/**
 * The section {@code workers}: how workers load replicas, and what the endpoint list provides.
 *
 * @param loadsOnDemand whether a worker loads a missing replica when a request needs it, instead of
 *     rejecting the request
 * @param loadCommandsAllowed whether the router may send load commands
 * @param replicaIdleTimeout time without a request after which a worker unloads a replica
 * @param capacityReported whether the endpoint list reports the capacity of workers
 * @param pollsEndpointList whether the router must poll the endpoint list
 * @param endpointPollInterval longest time between two polls
 */
record WorkersSection(
    boolean loadsOnDemand,
    boolean loadCommandsAllowed,
    Duration replicaIdleTimeout,
    boolean capacityReported,
    boolean pollsEndpointList,
    Duration endpointPollInterval) {
  private static final Duration DEFAULT_REPLICA_IDLE_TIMEOUT = Duration.ofSeconds(10);
  private static final Duration DEFAULT_ENDPOINT_POLL_INTERVAL = Duration.ofSeconds(10);

  /**
   * What a worker does with a request for a function that it has not loaded. The names of the
   * constants are the values of the key {@code miss}.
   */
  private enum MissHandling {
    /** The worker responds that the function is not loaded. */
    ANSWERS,
    /** The worker loads a replica and then executes the request. */
    LOADS
  }

  static WorkersSection read(YamlDocument section) {
    MissHandling missHandling = section.choice("miss", MissHandling.class, MissHandling.ANSWERS);
    boolean loadCommandsAllowed = section.flag("orders", true);
    Duration replicaIdleTimeout = section.duration("keep_alive", DEFAULT_REPLICA_IDLE_TIMEOUT);
    boolean capacityReported = section.flag("sizes_told", false);
    boolean pollsEndpointList = section.flag("ask_for_list", false);
    Duration endpointPollInterval = section.duration("ask_within", DEFAULT_ENDPOINT_POLL_INTERVAL);
    section.rejectUnknownKeys();
    return new WorkersSection(
        missHandling == MissHandling.LOADS,
        loadCommandsAllowed,
        replicaIdleTimeout,
        capacityReported,
        pollsEndpointList,
        endpointPollInterval);
  }
}

package switchgap.config;

import java.time.Duration;

/** The section {@code workers}: how workers load replicas, and what the endpoint list states. */
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
   * What a worker does with a request whose replica it lacks; the constants are words of the key
   * {@code miss}.
   */
  private enum MissHandling {
    ANSWERS,
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

package switchgap.planner.link;

import switchgap.net.FramedConnection;

/** A planner's connection after the handshake, as the edge sees it. Thread-safe. */
final class PlannerSession {
  private final FramedConnection connection;
  private final long epoch;
  private volatile long lastMessageNanos = System.nanoTime();

  PlannerSession(FramedConnection connection, long epoch) {
    this.connection = connection;
    this.epoch = epoch;
  }

  FramedConnection connection() {
    return connection;
  }

  /** The epoch that plans of this session must name. */
  long epoch() {
    return epoch;
  }

  /** The planner sent a message, which proves that it is alive. */
  void messageReceived() {
    lastMessageNanos = System.nanoTime();
  }

  /** Whether the planner has sent nothing for longer than the timeout. */
  boolean isSilent(long timeoutNanos) {
    return System.nanoTime() - lastMessageNanos > timeoutNanos;
  }
}

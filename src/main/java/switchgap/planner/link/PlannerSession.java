package switchgap.planner.link;

import switchgap.net.FramedConnection;

/** The router's state of a connection to a planner after the handshake. Thread-safe. */
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

  /** The epoch that plans of this session must contain. */
  long epoch() {
    return epoch;
  }

  /** Records that the planner sent a message, and is therefore alive. */
  void messageReceived() {
    lastMessageNanos = System.nanoTime();
  }

  /** Whether the time since the planner's last message exceeds the timeout. */
  boolean isSilent(long timeoutNanos) {
    return System.nanoTime() - lastMessageNanos > timeoutNanos;
  }
}

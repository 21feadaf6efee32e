package switchgap.testbed.soak;

/**
 * A request as its client saw it. Times are of {@link System#nanoTime}; 0 where something did not
 * happen.
 */
final class ClientRequest {
  /** How it ended for its client. */
  enum End {
    /** Nothing came yet. */
    OPEN,
    SERVED,
    REFUSED,
    FAILED,
    /** Its connection ended first. */
    CUT_OFF,
    /** The client withdrew it or closed its connection. */
    LEFT
  }

  final String id;
  final int router;

  /** Number of the router's process to which it was sent. */
  final int life;

  final boolean idempotent;
  final int allowMillis;
  final boolean firstOnConnection;

  /** Time at which its last byte was written. */
  volatile long sentNanos;

  /** Time at which its client went, by a revoke or a close. */
  volatile long leftNanos;

  volatile long endedNanos;
  volatile End end = End.OPEN;
  volatile int replies;

  /** Whether a served body was the one that a worker made for it. */
  volatile boolean bodyMatches = true;

  /** The same request that was sent again on a new connection, or null. */
  volatile ClientRequest again;

  ClientRequest(
      String id,
      int router,
      int life,
      boolean idempotent,
      int allowMillis,
      boolean firstOnConnection) {
    this.id = id;
    this.router = router;
    this.life = life;
    this.idempotent = idempotent;
    this.allowMillis = allowMillis;
    this.firstOnConnection = firstOnConnection;
  }

  void ended(End how, long nowNanos) {
    if (end == End.OPEN) {
      endedNanos = nowNanos;
      end = how;
    }
  }

  long deadlineNanos() {
    return sentNanos + allowMillis * 1_000_000L;
  }
}

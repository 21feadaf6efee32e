package switchgap.testbed.soak;

/**
 * An interval in which a router, or the event stream of all routers, did not work because of an
 * injected fault. Thread-safe. Times are of {@link System#nanoTime}.
 */
final class Outage {
  /** In place of a router's index: all routers are affected. */
  static final int ALL_ROUTERS = -1;

  private final int router;
  private final long startNanos;
  private volatile long endNanos;

  Outage(int router, long startNanos) {
    this.router = router;
    this.startNanos = startNanos;
  }

  /** It is over. */
  void endedAt(long nowNanos) {
    endNanos = nowNanos;
  }

  boolean affects(int otherRouter) {
    return router == otherRouter;
  }

  long startNanos() {
    return startNanos;
  }

  long durationNanos() {
    return endNanos - startNanos;
  }

  /** Whether it ended before a time; false while it lasts. */
  boolean isOverBefore(long nanos) {
    return endNanos != 0 && endNanos < nanos;
  }

  /** How much of the interval from one time until another it covers. */
  long overlapNanos(long fromNanos, long untilNanos) {
    long end = endNanos == 0 ? untilNanos : endNanos;
    return Math.max(0, Math.min(end, untilNanos) - Math.max(startNanos, fromNanos));
  }
}

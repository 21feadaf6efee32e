package switchgap.testbed.soak;

/**
 * A time interval in which an injected fault disabled a router, or the event stream for all
 * routers. Thread-safe. Times are values of {@link System#nanoTime}.
 */
final class Outage {
  /** Used instead of a router's index if the outage affects all routers. */
  static final int ALL_ROUTERS = -1;

  private final int router;
  private final long startNanos;
  private volatile long endNanos;

  Outage(int router, long startNanos) {
    this.router = router;
    this.startNanos = startNanos;
  }

  void end(long nowNanos) {
    endNanos = nowNanos;
  }

  /** Whether this is an outage of the given router alone. */
  boolean affects(int routerIndex) {
    return router == routerIndex;
  }

  long startNanos() {
    return startNanos;
  }

  long durationNanos() {
    return endNanos - startNanos;
  }

  /** Whether it ended before the given time; false while it continues. */
  boolean endedBefore(long nanos) {
    return endNanos != 0 && endNanos < nanos;
  }

  /** Duration of the part of the outage that lies within the given interval. */
  long overlapNanos(long fromNanos, long untilNanos) {
    long end = endNanos == 0 ? untilNanos : endNanos;
    return Math.max(0, Math.min(end, untilNanos) - Math.max(startNanos, fromNanos));
  }
}

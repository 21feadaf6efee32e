package switchgap.net;

import java.time.Duration;

/**
 * When the event loop of one selector thread last polled its sockets for readiness. From this
 * follows an upper bound of how long bytes that are read now were waiting in the socket: they had
 * not arrived when the iteration before polled, or that iteration would have read them.
 *
 * <p>Each selector thread has an instance of its own and is the only one to use it.
 */
final class EventLoopIterations {
  /**
   * A shorter delay counts as none: an idle loop polls every {@link
   * StallTrackingSelectorHandler#SELECT_TIMEOUT_MILLIS}. Little above that, since the uncounted
   * delays of an accept and of the first read add up.
   */
  private static final Duration NEGLIGIBLE_DELAY = Duration.ofMillis(65);

  private static final ThreadLocal<EventLoopIterations> OF_THREAD =
      ThreadLocal.withInitial(() -> new EventLoopIterations(System.nanoTime()));

  private long latestPollNanos;
  private long previousPollNanos;

  /** Iterations from this {@link System#nanoTime} on, with no poll before. */
  EventLoopIterations(long startNanos) {
    latestPollNanos = startNanos;
    previousPollNanos = startNanos;
  }

  /** The iterations of the calling selector thread. */
  static EventLoopIterations ofCurrentThread() {
    return OF_THREAD.get();
  }

  /**
   * Records that a select call returned.
   *
   * <p>A call that stalled and found nothing is not counted as a poll: signals such as SIGSTOP and
   * SIGCONT interrupt {@code epoll_wait}, after which the JDK finds the timeout expired and returns
   * no key, whatever is ready. One that stalled and found something counts as a poll at its start:
   * the stall may have followed the poll, so that what arrived in it is found by the next one.
   *
   * @param startedNanos the {@link System#nanoTime} at which the call started
   * @param endedNanos the {@link System#nanoTime} at which it returned
   * @param foundReady whether it returned at least one key
   */
  void selectReturned(long startedNanos, long endedNanos, boolean foundReady) {
    boolean stalled = endedNanos - startedNanos > StallDetector.THRESHOLD.toNanos();
    if (!stalled || foundReady) {
      previousPollNanos = latestPollNanos;
      latestPollNanos = stalled ? startedNanos : endedNanos;
    }
  }

  /**
   * Returns how long the bytes that the calling selector thread reads in this iteration may have
   * been waiting in their socket, at most; zero unless the thread was stalled.
   */
  static Duration maxReadDelay() {
    return ofCurrentThread().maxReadDelay(System.nanoTime());
  }

  /** The same at this {@link System#nanoTime}. */
  Duration maxReadDelay(long nowNanos) {
    Duration delay = Duration.ofNanos(nowNanos - previousPollNanos);
    return delay.compareTo(NEGLIGIBLE_DELAY) > 0 ? delay : Duration.ZERO;
  }
}

package switchgap.net;

import java.time.Duration;

/**
 * Records when the event loop of one selector thread last polled its sockets for readiness. This
 * gives an upper bound on the time for which bytes that are read now were waiting in the socket: if
 * they had arrived before the poll of the previous iteration, that iteration would have read them.
 *
 * <p>Each selector thread has its own instance, and no other thread uses it.
 */
final class EventLoopIterations {
  /**
   * A shorter delay is treated as zero, because an idle loop polls only every {@link
   * StallTrackingSelectorHandler#SELECT_TIMEOUT_MILLIS}. The value is only slightly greater than
   * that, because the ignored delays of an accept and of the first read add up.
   */
  private static final Duration NEGLIGIBLE_DELAY = Duration.ofMillis(65);

  private static final ThreadLocal<EventLoopIterations> OF_THREAD =
      ThreadLocal.withInitial(() -> new EventLoopIterations(System.nanoTime()));

  private long latestPollNanos;
  private long previousPollNanos;

  /**
   * Creates an instance as if the loop had polled at {@code startNanos}, a {@link System#nanoTime}.
   */
  EventLoopIterations(long startNanos) {
    latestPollNanos = startNanos;
    previousPollNanos = startNanos;
  }

  /** Returns the instance of the calling selector thread. */
  static EventLoopIterations ofCurrentThread() {
    return OF_THREAD.get();
  }

  /**
   * Records that a select call returned.
   *
   * <p>A call that stalled and returned no key is not counted as a poll: signals such as SIGSTOP
   * and SIGCONT interrupt {@code epoll_wait}, after which the JDK finds the timeout expired and
   * returns no key even if sockets are ready. A call that stalled and returned keys is counted as a
   * poll at its start: the stall may have followed the actual poll, in which case bytes that
   * arrived during the stall are found only by the next poll.
   *
   * @param startedNanos the {@link System#nanoTime} at which the call started
   * @param endedNanos the {@link System#nanoTime} at which it returned
   * @param foundReadyKeys whether it returned at least one key
   */
  void selectReturned(long startedNanos, long endedNanos, boolean foundReadyKeys) {
    boolean stalled = endedNanos - startedNanos > StallDetector.THRESHOLD.toNanos();
    if (!stalled || foundReadyKeys) {
      previousPollNanos = latestPollNanos;
      latestPollNanos = stalled ? startedNanos : endedNanos;
    }
  }

  /**
   * Returns the maximum time for which the bytes that the calling selector thread reads in this
   * iteration may have been waiting in their socket. Zero unless the thread was stalled.
   */
  static Duration maxReadDelay() {
    return ofCurrentThread().maxReadDelay(System.nanoTime());
  }

  /** Returns the maximum read delay at {@code nowNanos}, a {@link System#nanoTime}. */
  Duration maxReadDelay(long nowNanos) {
    Duration delay = Duration.ofNanos(nowNanos - previousPollNanos);
    return delay.compareTo(NEGLIGIBLE_DELAY) > 0 ? delay : Duration.ZERO;
  }
}

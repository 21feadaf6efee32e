package switchgap.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/**
 * The maximum time for which bytes may have waited before they are read, derived from the times of
 * the loop's polls.
 */
class EventLoopIterationsTest {
  private static final Duration STALL_DURATION = Duration.ofSeconds(3);
  private static final Duration ITERATION_DURATION = Duration.ofMillis(1);

  private long nowNanos = 1;
  private final EventLoopIterations iterations = new EventLoopIterations(nowNanos);

  /** Simulates a select call of this duration. */
  private void select(Duration duration, boolean foundReady) {
    long startedNanos = nowNanos;
    nowNanos += duration.toNanos();
    iterations.selectReturned(startedNanos, nowNanos, foundReady);
  }

  /** Simulates other work of the loop for this duration, such as handling events. */
  private void passTime(Duration duration) {
    nowNanos += duration.toNanos();
  }

  @Test
  void reportsNoDelayWhileLoopPollsRegularly() {
    select(ITERATION_DURATION, false);
    select(ITERATION_DURATION, true);
    select(ITERATION_DURATION, true);
    assertThat(iterations.maxReadDelay(nowNanos)).isZero();
  }

  @Test
  void reportsTimeSincePreviousPollWhenLoopWasStalledBetweenPolls() {
    select(ITERATION_DURATION, true);
    passTime(STALL_DURATION);
    select(ITERATION_DURATION, true);
    assertThat(iterations.maxReadDelay(nowNanos))
        .isEqualTo(STALL_DURATION.plus(ITERATION_DURATION));
  }

  @Test
  void reportsNoDelayOnceLoopHasPolledTwiceAfterStall() {
    select(ITERATION_DURATION, true);
    passTime(STALL_DURATION);
    select(ITERATION_DURATION, true);
    select(ITERATION_DURATION, true);
    assertThat(iterations.maxReadDelay(nowNanos)).isZero();
  }

  /** A select call that is interrupted by a signal returns no keys even if sockets are ready. */
  @Test
  void ignoresSelectThatStalledAndFoundNothing() {
    select(ITERATION_DURATION, true);
    select(STALL_DURATION, false);
    select(ITERATION_DURATION, true);
    assertThat(iterations.maxReadDelay(nowNanos))
        .isEqualTo(STALL_DURATION.plus(ITERATION_DURATION));
  }

  /**
   * The loop may have stalled after the poll; bytes that arrived during the stall are then found
   * only by the next poll.
   */
  @Test
  void treatsSelectThatStalledAndFoundReadySocketsAsPollAtItsStart() {
    select(ITERATION_DURATION, true);
    select(STALL_DURATION, true);
    select(ITERATION_DURATION, true);
    assertThat(iterations.maxReadDelay(nowNanos))
        .isEqualTo(STALL_DURATION.plus(ITERATION_DURATION));
    select(ITERATION_DURATION, true);
    assertThat(iterations.maxReadDelay(nowNanos)).isZero();
  }
}

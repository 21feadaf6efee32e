package switchgap.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/**
 * The maximum time for which bytes may have waited before they are read, derived from the times of
 * the loop's polls.
 */
class EventLoopIterationsTest {
  private static final Duration STALL = Duration.ofSeconds(3);
  private static final Duration ITERATION = Duration.ofMillis(1);

  private long nowNanos = 1;
  private final EventLoopIterations iterations = new EventLoopIterations(nowNanos);

  /** Simulates a select call of this duration. */
  private void select(Duration length, boolean foundReady) {
    long startedNanos = nowNanos;
    nowNanos += length.toNanos();
    iterations.selectReturned(startedNanos, nowNanos, foundReady);
  }

  /** Simulates other work of the loop for this duration, such as handling events. */
  private void passTime(Duration length) {
    nowNanos += length.toNanos();
  }

  @Test
  void reportsNoDelayWhileLoopPollsRegularly() {
    select(ITERATION, false);
    select(ITERATION, true);
    select(ITERATION, true);
    assertThat(iterations.maxReadDelay(nowNanos)).isZero();
  }

  @Test
  void reportsTimeSincePreviousPollWhenLoopWasStalledBetweenPolls() {
    select(ITERATION, true);
    passTime(STALL);
    select(ITERATION, true);
    assertThat(iterations.maxReadDelay(nowNanos)).isEqualTo(STALL.plus(ITERATION));
  }

  @Test
  void reportsNoDelayOnceLoopHasPolledTwiceAfterStall() {
    select(ITERATION, true);
    passTime(STALL);
    select(ITERATION, true);
    select(ITERATION, true);
    assertThat(iterations.maxReadDelay(nowNanos)).isZero();
  }

  /** A select call that is interrupted by a signal returns no keys even if sockets are ready. */
  @Test
  void ignoresSelectThatStalledAndFoundNothing() {
    select(ITERATION, true);
    select(STALL, false);
    select(ITERATION, true);
    assertThat(iterations.maxReadDelay(nowNanos)).isEqualTo(STALL.plus(ITERATION));
  }

  /**
   * The loop may have stalled after the poll; bytes that arrived during the stall are then found
   * only by the next poll.
   */
  @Test
  void countsSelectThatStalledAndFoundReadySocketsAsPollAtItsStart() {
    select(ITERATION, true);
    select(STALL, true);
    select(ITERATION, true);
    assertThat(iterations.maxReadDelay(nowNanos)).isEqualTo(STALL.plus(ITERATION));
    select(ITERATION, true);
    assertThat(iterations.maxReadDelay(nowNanos)).isZero();
  }
}

package switchgap.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** How long bytes that are read may have waited, by the times at which the loop polled. */
class EventLoopIterationsTest {
  private static final Duration STALL = Duration.ofSeconds(3);
  private static final Duration ITERATION = Duration.ofMillis(1);

  private long nowNanos = 1;
  private final EventLoopIterations iterations = new EventLoopIterations(nowNanos);

  /** Lets a call of select take this long. */
  private void select(Duration length, boolean foundReady) {
    long startedNanos = nowNanos;
    nowNanos += length.toNanos();
    iterations.selectReturned(startedNanos, nowNanos, foundReady);
  }

  /** Lets the loop do anything else for this long, such as handling events. */
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

  /** A select that a signal interrupted finds nothing, whatever is ready. */
  @Test
  void ignoresSelectThatStalledAndFoundNothing() {
    select(ITERATION, true);
    select(STALL, false);
    select(ITERATION, true);
    assertThat(iterations.maxReadDelay(nowNanos)).isEqualTo(STALL.plus(ITERATION));
  }

  /** The loop may have stalled behind the poll: what came in the stall is found by the next one. */
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

package switchgap.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/**
 * The maximum time for which a client may have waited to be accepted, for each cause of a stall.
 */
class AcceptStallTest {
  private static final Duration STALL_LENGTH = Duration.ofSeconds(2);

  /** Longer than the time within which a full accept queue is processed. */
  private static final Duration CATCH_UP_TIME = StallDetector.THRESHOLD.plusMillis(1);

  private long nowNanos = 1;
  private final AcceptStall stall = new AcceptStall(() -> nowNanos);

  private void passTime(Duration time) {
    nowNanos += time.toNanos();
  }

  @Test
  void reportsNoDelayWhileAcceptsSucceed() {
    stall.acceptSucceeded();
    stall.eventLoopResumed(Duration.ZERO);
    assertThat(stall.maxAcceptDelay()).isZero();
  }

  @Test
  void reportsDelaySincePauseUntilAcceptQueueIsProcessed() {
    stall.pause();
    assertThat(stall.isPaused()).isTrue();
    passTime(STALL_LENGTH);
    assertThat(stall.maxAcceptDelay()).isEqualTo(STALL_LENGTH);
    stall.resume();
    assertThat(stall.isPaused()).isFalse();
    assertThat(stall.maxAcceptDelay())
        .as("delay while clients from the stall may still be waiting")
        .isEqualTo(STALL_LENGTH);
    passTime(CATCH_UP_TIME);
    assertThat(stall.maxAcceptDelay()).as("delay once the accept queue is processed").isZero();
  }

  @Test
  void remainsStalledWhileAcceptsFailAlthoughResumed() {
    stall.acceptFailed();
    stall.pause();
    stall.resume();
    passTime(CATCH_UP_TIME);
    assertThat(stall.maxAcceptDelay()).isEqualTo(CATCH_UP_TIME);
    stall.acceptSucceeded();
    passTime(CATCH_UP_TIME);
    assertThat(stall.maxAcceptDelay()).isZero();
  }

  @Test
  void continuesStallWhileItsClientsMayBeWaiting() {
    stall.pause();
    passTime(STALL_LENGTH);
    stall.resume();
    stall.pause();
    passTime(STALL_LENGTH);
    assertThat(stall.maxAcceptDelay()).isEqualTo(STALL_LENGTH.multipliedBy(2));
  }

  @Test
  void reportsDelayOfStalledEventLoop() {
    stall.eventLoopResumed(STALL_LENGTH);
    assertThat(stall.maxAcceptDelay()).isEqualTo(STALL_LENGTH);
    stall.eventLoopResumed(STALL_LENGTH.dividedBy(2));
    assertThat(stall.maxAcceptDelay())
        .as("delay of the longer of two stalls")
        .isEqualTo(STALL_LENGTH);
    passTime(CATCH_UP_TIME);
    assertThat(stall.maxAcceptDelay()).isZero();
  }
}

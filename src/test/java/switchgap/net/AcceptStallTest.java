package switchgap.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** How long a client may have waited to be accepted, after each cause of a stall. */
class AcceptStallTest {
  private static final Duration STALL_LENGTH = Duration.ofSeconds(2);

  /** Longer than it takes to work off a full accept queue. */
  private static final Duration CATCH_UP = StallDetector.THRESHOLD.plusMillis(1);

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
  void reportsDelaySincePauseUntilAcceptQueueIsWorkedOff() {
    stall.pause();
    assertThat(stall.isPaused()).isTrue();
    passTime(STALL_LENGTH);
    assertThat(stall.maxAcceptDelay()).isEqualTo(STALL_LENGTH);
    stall.resume();
    assertThat(stall.isPaused()).isFalse();
    assertThat(stall.maxAcceptDelay()).as("clients still wait").isEqualTo(STALL_LENGTH);
    passTime(CATCH_UP);
    assertThat(stall.maxAcceptDelay()).as("worked off").isZero();
  }

  @Test
  void remainsStalledWhileAcceptsFailAlthoughResumed() {
    stall.acceptFailed();
    stall.pause();
    stall.resume();
    passTime(CATCH_UP);
    assertThat(stall.maxAcceptDelay()).isEqualTo(CATCH_UP);
    stall.acceptSucceeded();
    passTime(CATCH_UP);
    assertThat(stall.maxAcceptDelay()).isZero();
  }

  @Test
  void continuesStallThatClientsStillWaitFrom() {
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
    assertThat(stall.maxAcceptDelay()).as("the longer one counts").isEqualTo(STALL_LENGTH);
    passTime(CATCH_UP);
    assertThat(stall.maxAcceptDelay()).isZero();
  }
}

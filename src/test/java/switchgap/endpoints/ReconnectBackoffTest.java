package switchgap.endpoints;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** The delays before a client reconnects. */
class ReconnectBackoffTest {
  private static final Duration INITIAL_BACKOFF = Duration.ofMillis(100);

  @Test
  void fixedBackoffReturnsTheSameDelayEachTime() {
    ReconnectBackoff backoff = ReconnectBackoff.fixed(INITIAL_BACKOFF);
    assertThat(backoff.nextDelay()).isEqualTo(INITIAL_BACKOFF);
    assertThat(backoff.nextDelay()).isEqualTo(INITIAL_BACKOFF);
  }

  @Test
  void exponentialBackoffIsImmediateAtFirstAndThenDoublesUpToItsBound() {
    ReconnectBackoff backoff = ReconnectBackoff.exponential(INITIAL_BACKOFF, 2);
    assertThat(backoff.nextDelay()).isZero();
    for (long boundMillis : new long[] {100, 200, 400, 400, 400}) {
      assertThat(backoff.nextDelay())
          .isBetween(Duration.ofMillis(boundMillis / 2), Duration.ofMillis(boundMillis));
    }
  }

  @Test
  void resetMakesTheNextDelayTheFirstOneAgain() {
    ReconnectBackoff backoff = ReconnectBackoff.exponential(INITIAL_BACKOFF, 2);
    assertThat(backoff.hasFailed()).isFalse();
    backoff.nextDelay();
    backoff.nextDelay();
    assertThat(backoff.hasFailed()).isTrue();
    backoff.reset();
    assertThat(backoff.hasFailed()).isFalse();
    assertThat(backoff.nextDelay()).isZero();
  }
}

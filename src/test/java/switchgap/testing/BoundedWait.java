package switchgap.testing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.function.BooleanSupplier;

/** Polls a condition for a bounded time. */
public final class BoundedWait {
  private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(1);
  private static final long POLL_MILLIS = 10;

  private BoundedWait() {}

  /** Returns as soon as the condition holds; fails the test if it does not hold within a second. */
  public static void until(BooleanSupplier condition) throws InterruptedException {
    until(DEFAULT_TIMEOUT, condition);
  }

  /**
   * Returns as soon as the condition holds; fails the test if it does not hold within the timeout.
   * The time for evaluating the condition is not included in the timeout.
   */
  public static void until(Duration timeout, BooleanSupplier condition)
      throws InterruptedException {
    long polls = timeout.toMillis() / POLL_MILLIS;
    for (long i = 0; i < polls; i++) {
      if (condition.getAsBoolean()) {
        return;
      }
      Thread.sleep(POLL_MILLIS);
    }
    assertThat(condition.getAsBoolean()).as("condition holds within " + timeout).isTrue();
  }
}

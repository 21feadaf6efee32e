package switchgap.testing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.function.BooleanSupplier;

/** Waits until a condition holds, for a bounded time. */
public final class BoundedWait {
  private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(1);
  private static final long POLL_MILLIS = 10;

  private BoundedWait() {}

  /** Returns as soon as the condition holds; fails the test where it does not within a second. */
  public static void until(BooleanSupplier condition) throws InterruptedException {
    until(DEFAULT_TIMEOUT, condition);
  }

  /**
   * Returns as soon as the condition holds; fails the test where it does not within the timeout, to
   * which the time that evaluating the condition takes is added.
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
    assertThat(condition.getAsBoolean()).as("the condition within " + timeout).isTrue();
  }
}

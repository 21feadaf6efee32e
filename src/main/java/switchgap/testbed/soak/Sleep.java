package switchgap.testbed.soak;

import java.util.concurrent.TimeUnit;

/** Sleeps until a point in time. */
final class Sleep {
  private Sleep() {}

  /**
   * Sleeps until a delay has passed since {@code startNanos}, a value of {@link System#nanoTime}.
   * Returns at once if it has already passed.
   */
  static void until(long startNanos, int delayMillis) throws InterruptedException {
    long remainingNanos =
        startNanos + TimeUnit.MILLISECONDS.toNanos(delayMillis) - System.nanoTime();
    if (remainingNanos > 0) {
      TimeUnit.NANOSECONDS.sleep(remainingNanos);
    }
  }
}

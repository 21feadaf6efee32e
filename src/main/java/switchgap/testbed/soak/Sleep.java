package switchgap.testbed.soak;

import java.util.concurrent.TimeUnit;

/** Sleeps until a point in time. */
final class Sleep {
  private Sleep() {}

  /**
   * Sleeps until so many milliseconds after a {@link System#nanoTime}; not at all if that is past.
   */
  static void until(long startNanos, int afterMillis) throws InterruptedException {
    long left = startNanos + TimeUnit.MILLISECONDS.toNanos(afterMillis) - System.nanoTime();
    if (left > 0) {
      TimeUnit.NANOSECONDS.sleep(left);
    }
  }
}

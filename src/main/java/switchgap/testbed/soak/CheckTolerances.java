package switchgap.testbed.soak;

import java.util.concurrent.TimeUnit;

/** The tolerance that all checks share, and the unit of their messages. */
final class CheckTolerances {
  static final long NANOS_PER_MILLI = 1_000_000;

  /** What emulators may observe late on a machine that they share with the routers. */
  static final long MEASUREMENT_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

  private CheckTolerances() {}

  static long toMillis(long nanos) {
    return nanos / NANOS_PER_MILLI;
  }
}

package switchgap.testbed.soak;

import java.util.concurrent.TimeUnit;

/** Tolerance that all checks share, and conversion to the unit of their messages. */
final class CheckTolerances {
  static final long NANOS_PER_MILLI = 1_000_000;

  /** Longest delay of an emulator's observations on a machine that it shares with routers. */
  static final long MEASUREMENT_ERROR_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

  private CheckTolerances() {}

  static long toMillis(long nanos) {
    return nanos / NANOS_PER_MILLI;
  }
}

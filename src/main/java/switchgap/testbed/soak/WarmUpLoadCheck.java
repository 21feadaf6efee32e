package switchgap.testbed.soak;

import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;
import switchgap.testbed.invariant.Invariant;
import switchgap.testbed.invariant.ViolationRecorder;
import switchgap.testbed.invariant.WindowedSum;

/**
 * A worker that is warming up is not overloaded: within any second it receives at most a multiple
 * of what it can serve at its age. Capacity is measured as the mean rate of the warm workers.
 */
final class WarmUpLoadCheck {
  private static final long WARM_UP_NANOS = TimeUnit.MILLISECONDS.toNanos(4000);
  private static final long WINDOW_NANOS = TimeUnit.MILLISECONDS.toNanos(1000);
  private static final double NANOS_PER_SECOND = 1e9;

  /** A worker bears this multiple of its capacity. */
  private static final double OVERLOAD_MULTIPLE = 3;

  private static final double INITIAL_CAPACITY_SHARE = 0.2;

  /** Below this budget chance weighs more, and the budget gets a larger allowance for it. */
  private static final int FEW_REQUESTS = 30;

  /** Least capacity of a worker, requests a second: one after the other, 20 ms each. */
  private static final double SERIAL_RATE = 50;

  private final SoakRecords records;
  private final ViolationRecorder violations;

  /** Measured once, as a run has many attempts; not a number before. */
  private double warmRate = Double.NaN;

  WarmUpLoadCheck(SoakRecords records, ViolationRecorder violations) {
    this.records = records;
    this.violations = violations;
  }

  /** Checks one worker. */
  void check(WorkerTimeline worker) {
    if (!worker.startedDuringRun()) {
      return;
    }
    if (Double.isNaN(warmRate)) {
      warmRate = measureWarmRate();
    }
    // a sample that is as old as the window's length is outside
    WindowedSum window = new WindowedSum(WINDOW_NANOS - 1);
    double maxBudgetShare = 0;
    for (long age : agesAtAttempts(worker)) {
      window.add(age, 1);
      maxBudgetShare = Math.max(maxBudgetShare, window.count() / budget(age));
    }
    if (maxBudgetShare > 1) {
      violations.record(
          Invariant.SLOW_START,
          String.format(
              "worker %s had %.2f of its budget while it warmed up",
              worker.name(), maxBudgetShare));
    }
  }

  /** Ages of the worker at which it received attempts while it warmed up, in order. */
  private long[] agesAtAttempts(WorkerTimeline worker) {
    return records.attempts().stream()
        .filter(attempt -> attempt.worker().equals(worker.name()))
        .mapToLong(attempt -> attempt.receivedNanos() - worker.startedNanos())
        .filter(age -> age < WARM_UP_NANOS)
        .sorted()
        .toArray();
  }

  /** Requests that a worker of this age may receive within the window. */
  private double budget(long ageNanos) {
    double warmth = Math.min(1, (double) ageNanos / WARM_UP_NANOS);
    double capacityShare = INITIAL_CAPACITY_SHARE + (1 - INITIAL_CAPACITY_SHARE) * warmth;
    double requests = OVERLOAD_MULTIPLE * capacityShare * Math.max(SERIAL_RATE, warmRate);
    double deviation = Math.sqrt(requests);
    double allowance = requests < FEW_REQUESTS ? 3 * deviation + 3 : 2 * deviation + 2;
    return requests + allowance;
  }

  /** Requests a second that a warm worker received, in the mean. */
  private double measureWarmRate() {
    long[] times =
        records.attempts().stream()
            .filter(attempt -> !records.worker(attempt.worker()).startedDuringRun())
            .mapToLong(ReceivedAttempt::receivedNanos)
            .toArray();
    long warmWorkers =
        records.workers().stream().filter(worker -> !worker.startedDuringRun()).count();
    long span = LongStream.of(times).max().orElse(0) - LongStream.of(times).min().orElse(0);
    if (span == 0) {
      return 0;
    }
    return times.length * NANOS_PER_SECOND / span / Math.max(1, warmWorkers);
  }
}

package switchgap.testbed.soak;

import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;
import switchgap.testbed.invariant.Invariant;
import switchgap.testbed.invariant.ViolationRecorder;
import switchgap.testbed.invariant.WindowedSum;

/**
 * Checks that a worker is not overloaded while it warms up: within any second it receives at most a
 * multiple of the requests that it can serve at its age. The capacity of a warm worker is estimated
 * by the mean rate of requests at the warm workers.
 */
final class WarmUpLoadCheck {
  private static final long WARM_UP_NANOS = TimeUnit.MILLISECONDS.toNanos(4000);
  private static final long WINDOW_NANOS = TimeUnit.MILLISECONDS.toNanos(1000);
  private static final double NANOS_PER_SECOND = 1e9;

  /** Greatest allowed load, as a multiple of the capacity. */
  private static final double OVERLOAD_MULTIPLE = 3;

  private static final double INITIAL_CAPACITY_SHARE = 0.2;

  /** Smaller budgets get a larger allowance, as random variation is relatively larger. */
  private static final int SMALL_BUDGET_REQUESTS = 30;

  /** Assumed least capacity of a worker: one request at a time, 20 ms each. */
  private static final double MIN_CAPACITY_PER_SECOND = 50;

  private final SoakRecords records;
  private final ViolationRecorder violations;

  /** Measured once, as a run has many attempts; NaN until then. */
  private double warmRequestsPerSecond = Double.NaN;

  WarmUpLoadCheck(SoakRecords records, ViolationRecorder violations) {
    this.records = records;
    this.violations = violations;
  }

  void check(WorkerTimeline worker) {
    if (!worker.startedDuringRun()) {
      return;
    }
    if (Double.isNaN(warmRequestsPerSecond)) {
      warmRequestsPerSecond = measureWarmRequestsPerSecond();
    }
    // The window excludes samples that are exactly one second old.
    WindowedSum window = new WindowedSum(WINDOW_NANOS - 1);
    double maxBudgetUse = 0;
    for (long ageNanos : agesAtAttempts(worker)) {
      window.add(ageNanos, 1);
      maxBudgetUse = Math.max(maxBudgetUse, window.count() / requestBudget(ageNanos));
    }
    if (maxBudgetUse > 1) {
      violations.record(
          Invariant.SLOW_START,
          String.format(
              "worker %s received %.2f times its request budget while it warmed up",
              worker.name(), maxBudgetUse));
    }
  }

  /** Ages of the worker, in nanoseconds, when it received attempts while it warmed up; sorted. */
  private long[] agesAtAttempts(WorkerTimeline worker) {
    return records.attempts().stream()
        .filter(attempt -> attempt.worker().equals(worker.name()))
        .mapToLong(attempt -> attempt.receivedNanos() - worker.startedNanos())
        .filter(ageNanos -> ageNanos < WARM_UP_NANOS)
        .sorted()
        .toArray();
  }

  /** Number of requests that a worker of this age may receive within one second. */
  private double requestBudget(long ageNanos) {
    double warmUpShare = Math.min(1, (double) ageNanos / WARM_UP_NANOS);
    double capacityShare = INITIAL_CAPACITY_SHARE + (1 - INITIAL_CAPACITY_SHARE) * warmUpShare;
    double requests =
        OVERLOAD_MULTIPLE
            * capacityShare
            * Math.max(MIN_CAPACITY_PER_SECOND, warmRequestsPerSecond);
    double standardDeviation = Math.sqrt(requests);
    double allowance =
        requests < SMALL_BUDGET_REQUESTS ? 3 * standardDeviation + 3 : 2 * standardDeviation + 2;
    return requests + allowance;
  }

  /** Mean rate of requests at a warm worker. */
  private double measureWarmRequestsPerSecond() {
    long[] receivedNanos =
        records.attempts().stream()
            .filter(attempt -> !records.worker(attempt.worker()).startedDuringRun())
            .mapToLong(ReceivedAttempt::receivedNanos)
            .toArray();
    long warmWorkers =
        records.workers().stream().filter(worker -> !worker.startedDuringRun()).count();
    long spanNanos =
        LongStream.of(receivedNanos).max().orElse(0) - LongStream.of(receivedNanos).min().orElse(0);
    if (spanNanos == 0) {
      return 0;
    }
    return receivedNanos.length * NANOS_PER_SECOND / spanNanos / Math.max(1, warmWorkers);
  }
}

package switchgap.testbed.scenario;

import java.util.HashMap;
import java.util.Map;
import switchgap.testbed.invariant.Invariant;
import switchgap.testbed.invariant.WindowedSum;

/**
 * Checks that a worker that is warming up receives within any window at most a configured multiple
 * of the work that it can do in that time, and that no worker crashes from overload.
 */
final class SlowStartCheck extends InvariantCheck {
  /** A worker that is warming up, with the work that it received within the current window. */
  private static final class ColdWorker {
    private final long startedAt;
    private final double fullCapacity;
    private final WindowedSum receivedWork;

    ColdWorker(long startedAt, double fullCapacity, long window) {
      this.startedAt = startedAt;
      this.fullCapacity = fullCapacity;
      this.receivedWork = new WindowedSum(window);
    }
  }

  private final ScenarioSettings.InvariantLimits limits;
  private final Map<String, ColdWorker> coldWorkers = new HashMap<>();
  private int coldStartCount;
  private double maxBudgetUsage;

  SlowStartCheck(ScenarioLog log) {
    super(Invariant.SLOW_START, log);
    this.limits = log.settings().invariantLimits();
  }

  @Override
  void check() {
    for (LogLine line : log.fleetLines()) {
      switch (line.event()) {
        case WORKER_STARTED -> readWorkerStart(line);
        case WORKER_CRASHED ->
            recordViolation(
                line.worker() + " crashed from overload, " + fleetLine(line.lineNumber()));
        case REQUEST_RECEIVED -> checkReceivedWork(line);
        default -> { // Other events do not matter for slow start.
        }
      }
    }
  }

  private void readWorkerStart(LogLine line) {
    String worker = line.worker();
    coldWorkers.remove(worker);
    if (line.flag("cold")) {
      coldStartCount++;
      double fullCapacity = line.integer("cores") * line.requiredDouble("speed");
      coldWorkers.put(worker, new ColdWorker(line.time(), fullCapacity, limits.crashWindow()));
    }
  }

  private void checkReceivedWork(LogLine line) {
    String name = line.worker();
    ColdWorker worker = coldWorkers.get(name);
    if (worker == null) {
      return;
    }
    long age = line.time() - worker.startedAt;
    if (age > limits.warmUpTime()) {
      coldWorkers.remove(name);
      return;
    }
    worker.receivedWork.add(line.time(), line.requiredDouble("work"));
    double budgetUsage = worker.receivedWork.sum() / workBudget(worker, age);
    maxBudgetUsage = Math.max(maxBudgetUsage, budgetUsage);
    if (budgetUsage > 1) {
      recordViolation(
          name
              + " received "
              + percent(budgetUsage)
              + "% of its slow-start budget, "
              + fleetLine(line.lineNumber()));
    }
  }

  /** Work that a worker may receive within the window, if it started {@code age} ago. */
  private double workBudget(ColdWorker worker, long age) {
    double capacityShare =
        limits.initialCapacityShare()
            + (1 - limits.initialCapacityShare()) * age / limits.warmUpTime();
    return worker.fullCapacity
        * Math.min(1, capacityShare)
        * limits.crashWindow()
        * limits.crashMultiple();
  }

  private static long percent(double fraction) {
    return Math.round(fraction * 100);
  }

  @Override
  String summary() {
    return coldStartCount
        + " cold starts; at most "
        + percent(maxBudgetUsage)
        + "% of a slow-start budget used";
  }
}

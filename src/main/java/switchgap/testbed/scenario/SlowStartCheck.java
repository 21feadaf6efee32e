package switchgap.testbed.scenario;

import java.util.HashMap;
import java.util.Map;
import switchgap.testbed.invariant.Invariant;
import switchgap.testbed.invariant.WindowedSum;

/**
 * The work sent to a cold worker within a window stays under a multiple of what it can do in that
 * time.
 */
final class SlowStartCheck extends InvariantCheck {
  /** A worker that is warming up, with the work that it lately received. */
  private static final class ColdWorker {
    private final long startedAt;
    private final double fullCapacity;
    private final WindowedSum work;

    ColdWorker(long startedAt, double fullCapacity, long window) {
      this.startedAt = startedAt;
      this.fullCapacity = fullCapacity;
      this.work = new WindowedSum(window);
    }
  }

  private final ScenarioSettings.InvariantLimits limits;
  private final Map<String, ColdWorker> coldWorkers = new HashMap<>();
  private int coldStarts;
  private double maxBudgetShare;

  SlowStartCheck(ScenarioLog log) {
    super(Invariant.SLOW_START, log);
    this.limits = log.settings().limits();
  }

  @Override
  void check() {
    for (LogLine line : log.fleetLines()) {
      switch (line.event()) {
        case WORKER_STARTED -> started(line);
        case WORKER_CRASHED -> violated(line.worker() + " fell over, " + fleetLine(line.number()));
        case REQUEST_RECEIVED -> workArrived(line);
        default -> { // other events bring no work
        }
      }
    }
  }

  private void started(LogLine line) {
    String worker = line.worker();
    coldWorkers.remove(worker);
    if (line.flag("cold")) {
      coldStarts++;
      double fullCapacity = line.integer("cores") * line.requiredDouble("speed");
      coldWorkers.put(worker, new ColdWorker(line.at(), fullCapacity, limits.crashWindow()));
    }
  }

  private void workArrived(LogLine line) {
    String name = line.worker();
    ColdWorker worker = coldWorkers.get(name);
    if (worker == null) {
      return;
    }
    long age = line.at() - worker.startedAt;
    if (age > limits.warmUpTime()) {
      coldWorkers.remove(name);
      return;
    }
    worker.work.add(line.at(), line.requiredDouble("work"));
    double budgetShare = worker.work.sum() / budget(worker, age);
    maxBudgetShare = Math.max(maxBudgetShare, budgetShare);
    if (budgetShare > 1) {
      violated(
          name
              + " was sent "
              + percent(budgetShare)
              + "% of its budget, "
              + fleetLine(line.number()));
    }
  }

  /** Work that a worker of this age may receive within the window. */
  private double budget(ColdWorker worker, long age) {
    double capacityShare =
        limits.initialCapacityShare()
            + (1 - limits.initialCapacityShare()) * age / limits.warmUpTime();
    return worker.fullCapacity
        * Math.min(1, capacityShare)
        * limits.crashWindow()
        * limits.crashMultiple();
  }

  private static long percent(double share) {
    return Math.round(share * 100);
  }

  @Override
  String summary() {
    return coldStarts + " cold starts; most of a budget used " + percent(maxBudgetShare) + "%";
  }
}

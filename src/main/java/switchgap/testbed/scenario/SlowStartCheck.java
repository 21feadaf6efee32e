package switchgap.testbed.scenario;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import switchgap.testbed.invariant.Invariant;

/**
 * The work sent to a cold worker within a window stays under a multiple of what it can do in that
 * time.
 */
final class SlowStartCheck extends InvariantCheck {
  private record Arrival(long at, double work) {}

  /** The budget of a cold worker over the window. */
  private static final class ColdWorker {
    final long startedAt;
    final double fullCapacity;
    final ArrayDeque<Arrival> window = new ArrayDeque<>();
    double workInWindow;

    ColdWorker(long startedAt, double fullCapacity) {
      this.startedAt = startedAt;
      this.fullCapacity = fullCapacity;
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
      switch (line.kind()) {
        case "started" -> started(line);
        case "fell" -> violated(line.text("worker") + " fell over, " + fleetLine(line.number()));
        case "infer" -> workArrived(line);
        default -> { // other events bring no work
        }
      }
    }
  }

  private void started(LogLine line) {
    String worker = line.text("worker");
    coldWorkers.remove(worker);
    if (line.flag("cold")) {
      coldStarts++;
      coldWorkers.put(
          worker, new ColdWorker(line.at(), line.integer("cores") * line.requiredDouble("speed")));
    }
  }

  private void workArrived(LogLine line) {
    String name = line.text("worker");
    ColdWorker worker = coldWorkers.get(name);
    if (worker == null) {
      return;
    }
    long age = line.at() - worker.startedAt;
    if (age > limits.warmUpTime()) {
      coldWorkers.remove(name);
      return;
    }
    double work = line.requiredDouble("work");
    worker.window.add(new Arrival(line.at(), work));
    worker.workInWindow += work;
    while (line.at() - worker.window.peek().at > limits.crashWindow()) {
      worker.workInWindow -= worker.window.poll().work;
    }
    double capacityShare =
        limits.initialCapacityShare()
            + (1 - limits.initialCapacityShare()) * age / limits.warmUpTime();
    double budget =
        worker.fullCapacity
            * Math.min(1, capacityShare)
            * limits.crashWindow()
            * limits.crashMultiple();
    double budgetShare = worker.workInWindow / budget;
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

  private static long percent(double share) {
    return Math.round(share * 100);
  }

  @Override
  String summary() {
    return coldStarts + " cold starts; most of a budget used " + percent(maxBudgetShare) + "%";
  }
}

package switchgap.testbed.emulator;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.function.Consumer;

/**
 * The cores of a worker, which all running executions share equally. Used only on the scheduler's
 * thread.
 */
final class ProcessorSharing {
  private static final long MAX_UPDATE_PERIOD_MICROS = 100_000;
  private static final double COMPLETION_TOLERANCE_MICROS = 1;
  private final WorkerHardware.Compute compute;
  private final Scheduler scheduler;
  private final ColdStart coldStart;
  private final Consumer<List<EmulatedExecution>> completionHandler;
  private final List<EmulatedExecution> runningExecutions = new ArrayList<>();
  private double slowdown = 1;
  private long lastAdvancedAt;
  private long latestUpdateNumber;
  private boolean stopped;

  ProcessorSharing(
      WorkerHardware.Compute compute,
      Scheduler scheduler,
      ColdStart coldStart,
      Consumer<List<EmulatedExecution>> completionHandler) {
    this.compute = compute;
    this.scheduler = scheduler;
    this.coldStart = coldStart;
    this.completionHandler = completionHandler;
    this.lastAdvancedAt = coldStart.startedAt();
  }

  void stop() {
    stopped = true;
  }

  void setSlowdown(double factor) {
    advance();
    slowdown = factor;
    scheduleUpdate();
  }

  int runningCount() {
    return runningExecutions.size();
  }

  /** Share of the cores that are busy, from 0 to 1. */
  double utilization() {
    return Math.min(1, runningExecutions.size() / (double) compute.cores());
  }

  void add(EmulatedExecution execution) {
    runningExecutions.add(execution);
  }

  /**
   * Subtracts the work done since the last call from the running executions. Must be called before
   * each change that affects {@link #workPerMicro}.
   */
  void advance() {
    long now = scheduler.now();
    double workDone = (now - lastAdvancedAt) * workPerMicro(now);
    for (EmulatedExecution execution : runningExecutions) {
      execution.advance(workDone);
    }
    lastAdvancedAt = now;
  }

  /** Returns the work that each running execution completes in a microsecond. */
  private double workPerMicro(long now) {
    if (runningExecutions.isEmpty()) {
      return 0;
    }
    return compute.speed()
        * coldStart.capacityShare(now)
        * Math.min(1, compute.cores() / (double) runningExecutions.size())
        / slowdown;
  }

  /**
   * Schedules an update for the next completion, but at most {@link #MAX_UPDATE_PERIOD_MICROS}
   * ahead. It replaces the update scheduled before.
   */
  void scheduleUpdate() {
    latestUpdateNumber++;
    long updateNumber = latestUpdateNumber;
    if (runningExecutions.isEmpty() || stopped) {
      return;
    }
    double leastRemainingWork = Double.MAX_VALUE;
    for (EmulatedExecution execution : runningExecutions) {
      leastRemainingWork = Math.min(leastRemainingWork, execution.remainingWork());
    }
    long completionDelay =
        (long) Math.ceil(Math.max(0, leastRemainingWork) / workPerMicro(scheduler.now()));
    scheduler.after(
        Math.min(completionDelay, MAX_UPDATE_PERIOD_MICROS),
        () -> {
          if (updateNumber == latestUpdateNumber && !stopped) {
            advance();
            removeCompleted();
          }
        });
  }

  private void removeCompleted() {
    List<EmulatedExecution> completed = new ArrayList<>();
    for (Iterator<EmulatedExecution> iterator = runningExecutions.iterator();
        iterator.hasNext(); ) {
      EmulatedExecution execution = iterator.next();
      if (execution.remainingWork() <= COMPLETION_TOLERANCE_MICROS) {
        iterator.remove();
        completed.add(execution);
      }
    }
    completionHandler.accept(completed);
    scheduleUpdate();
  }
}

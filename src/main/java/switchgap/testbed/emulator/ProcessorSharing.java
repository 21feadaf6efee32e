package switchgap.testbed.emulator;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.function.Consumer;

/**
 * The cores of a worker, shared equally by the executions that compute. On the scheduler's thread.
 */
final class ProcessorSharing {
  private static final long MAX_UPDATE_PERIOD_MICROS = 100_000;
  private static final double COMPLETE_BELOW_MICROS = 1;
  private final WorkerHardware.Compute compute;
  private final Scheduler scheduler;
  private final ColdStart coldStart;
  private final Consumer<List<EmulatedExecution>> completionHandler;
  private final List<EmulatedExecution> running = new ArrayList<>();
  private double slowdown = 1;
  private long advancedAt;
  private long updateNumber;
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
    this.advancedAt = coldStart.startedAt();
  }

  void stop() {
    stopped = true;
  }

  void setSlowdown(double factor) {
    advance();
    slowdown = factor;
    scheduleUpdate();
  }

  int running() {
    return running.size();
  }

  /** Share of the cores that compute. */
  double utilization() {
    return Math.min(1, running.size() / (double) compute.cores());
  }

  void add(EmulatedExecution execution) {
    running.add(execution);
  }

  /**
   * Accounts for the work done since the last call; due before anything changes that affects the
   * pace.
   */
  void advance() {
    long now = scheduler.now();
    double done = (now - advancedAt) * pace(now);
    for (EmulatedExecution execution : running) {
      execution.advance(done);
    }
    advancedAt = now;
  }

  /** Work done for each execution in a microsecond. */
  private double pace(long now) {
    if (running.isEmpty()) {
      return 0;
    }
    return compute.speed()
        * coldStart.capacityShare(now)
        * Math.min(1, compute.cores() / (double) running.size())
        / slowdown;
  }

  /** Schedules the next completion; a later one replaces it. */
  void scheduleUpdate() {
    updateNumber++;
    long number = updateNumber;
    if (running.isEmpty() || stopped) {
      return;
    }
    double leastWork = Double.MAX_VALUE;
    for (EmulatedExecution execution : running) {
      leastWork = Math.min(leastWork, execution.remainingWork());
    }
    long delay = (long) Math.ceil(Math.max(0, leastWork) / pace(scheduler.now()));
    scheduler.after(
        Math.min(delay, MAX_UPDATE_PERIOD_MICROS),
        () -> {
          if (number == updateNumber && !stopped) {
            advance();
            complete();
          }
        });
  }

  private void complete() {
    List<EmulatedExecution> completed = new ArrayList<>();
    for (Iterator<EmulatedExecution> iterator = running.iterator(); iterator.hasNext(); ) {
      EmulatedExecution execution = iterator.next();
      if (execution.remainingWork() <= COMPLETE_BELOW_MICROS) {
        iterator.remove();
        completed.add(execution);
      }
    }
    completionHandler.accept(completed);
    scheduleUpdate();
  }
}

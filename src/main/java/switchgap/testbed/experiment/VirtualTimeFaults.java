package switchgap.testbed.experiment;

import java.util.List;
import java.util.SplittableRandom;
import java.util.function.IntConsumer;
import switchgap.config.EnumWords;
import switchgap.testbed.emulator.EmulatedWorker;
import switchgap.testbed.scenario.LoadFaults;
import switchgap.testbed.scenario.Scenario;
import switchgap.testbed.scenario.ScenarioFault;

/**
 * Injects the faults of a scenario's fault script into a test bed in virtual time. Only faults that
 * need no socket are supported.
 */
final class VirtualTimeFaults {
  private final Scenario scenario;
  private final VirtualTimeScheduler scheduler;
  private final VirtualTimeFleet fleet;
  private final LoadFaults loadFaults;
  private final SplittableRandom random;
  private final IntConsumer restartRouter;

  /**
   * {@code loadFaults} injects the faults of clients, functions and the store; {@code
   * restartRouter} restarts the router with the given index.
   */
  VirtualTimeFaults(
      Scenario scenario,
      VirtualTimeScheduler scheduler,
      VirtualTimeFleet fleet,
      LoadFaults loadFaults,
      long seed,
      IntConsumer restartRouter) {
    this.scenario = scenario;
    this.scheduler = scheduler;
    this.fleet = fleet;
    this.loadFaults = loadFaults;
    this.random = new SplittableRandom(seed);
    this.restartRouter = restartRouter;
  }

  /** Schedules the faults of the script, relative to the current time. */
  void start() {
    scenario.faults().forEach(fault -> scheduler.after(fault.startsAt(), () -> inject(fault)));
  }

  private void inject(ScenarioFault fault) {
    if (loadFaults.inject(fault)) {
      return;
    }
    switch (fault.type()) {
      case SLOW -> slowDown(drawWorkers(fault.share()), fault);
      case WORKERS_KILLED ->
          drawWorkers(fault.share())
              .forEach(worker -> fleet.killAndReplace(worker, fault.duration()));
      case ROUTERS_RESTARTED -> restartRouters(fault.share());
      default ->
          throw new IllegalArgumentException(
              "the emulator does not support the fault "
                  + EnumWords.wordOf(fault.type())
                  + "; it injects only faults that need no socket");
    }
  }

  private void slowDown(List<EmulatedWorker> workers, ScenarioFault fault) {
    workers.forEach(worker -> worker.setSlowdown(fault.strength()));
    scheduler.after(fault.duration(), () -> workers.forEach(worker -> worker.setSlowdown(1)));
  }

  private void restartRouters(double share) {
    long count = Math.max(1, Math.round(share * scenario.routerCount()));
    for (int i = 0; i < count; i++) {
      restartRouter.accept(i);
    }
  }

  private List<EmulatedWorker> drawWorkers(double share) {
    return LoadFaults.drawShare(fleet.runningReadyWorkers(), share, random);
  }
}

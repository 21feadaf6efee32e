package switchgap.testbed.experiment;

import java.util.List;
import java.util.SplittableRandom;
import java.util.function.IntConsumer;
import switchgap.config.EnumWords;
import switchgap.testbed.emulator.EmulatedWorker;
import switchgap.testbed.scenario.LoadFaults;
import switchgap.testbed.scenario.Scenario;
import switchgap.testbed.scenario.ScenarioFault;

/** Injects the faults of a fault script that need no socket into a test bed in virtual time. */
final class VirtualTimeFaults {
  private final Scenario scenario;
  private final VirtualTimeScheduler scheduler;
  private final VirtualTimeFleet fleet;
  private final LoadFaults loadFaults;
  private final SplittableRandom random;
  private final IntConsumer routerRestart;

  /**
   * {@code loadFaults}: injects those of clients, functions and the store; {@code routerRestart}:
   * restarts the router of an index.
   */
  VirtualTimeFaults(
      Scenario scenario,
      VirtualTimeScheduler scheduler,
      VirtualTimeFleet fleet,
      LoadFaults loadFaults,
      long seed,
      IntConsumer routerRestart) {
    this.scenario = scenario;
    this.scheduler = scheduler;
    this.fleet = fleet;
    this.loadFaults = loadFaults;
    this.random = new SplittableRandom(seed);
    this.routerRestart = routerRestart;
  }

  /** Schedules the fault script from now on. */
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
              "the emulator does not bring "
                  + EnumWords.wordOf(fault.type())
                  + "; it brings what needs no socket");
    }
  }

  private void slowDown(List<EmulatedWorker> workers, ScenarioFault fault) {
    workers.forEach(worker -> worker.setSlowdown(fault.strength()));
    scheduler.after(fault.duration(), () -> workers.forEach(worker -> worker.setSlowdown(1)));
  }

  private void restartRouters(double share) {
    long count = Math.max(1, Math.round(share * scenario.routers()));
    for (int i = 0; i < count; i++) {
      routerRestart.accept(i);
    }
  }

  private List<EmulatedWorker> drawWorkers(double share) {
    return LoadFaults.drawShare(fleet.runningAndReady(), share, random);
  }
}

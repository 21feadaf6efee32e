package switchgap.testbed.scenario;

import java.util.List;
import switchgap.testbed.emulator.EmulatedModelServer;
import switchgap.testbed.emulator.EndpointState;

/** Injects faults that end worker processes: drains, replacements, kills and restarts. */
final class WorkerReplacementInjector implements FaultInjector {
  private static final long TAKEN_AWAY_DRAIN_MICROS = 500_000;
  private static final double RELEASE_BATCH_SHARE = 0.15;
  private static final double MICROS_PER_SECOND = 1e6;
  private final TestBed testBed;
  private final WorkerFleet fleet;

  WorkerReplacementInjector(TestBed testBed) {
    this.testBed = testBed;
    this.fleet = testBed.fleet();
  }

  @Override
  public boolean inject(ScenarioFault fault) {
    switch (fault.type()) {
      case DRAIN ->
          fleet.selectReady(fault.share()).forEach(server -> replace(server, drainTime(fault)));
      case TAKEN_AWAY ->
          fleet
              .selectReady(fault.share())
              .forEach(server -> replace(server, TAKEN_AWAY_DRAIN_MICROS));
      case RELEASE -> replaceInBatches(fault);
      case WORKERS_KILLED ->
          fleet
              .selectReady(fault.share())
              .forEach(server -> killAndReplace(server, fault.duration()));
      case WORKER_RESTARTED ->
          fleet
              .selectReady(fault.share())
              .forEach(server -> fleet.restart(server.name(), fault.duration()));
      default -> {
        return false;
      }
    }
    return true;
  }

  private static long drainTime(ScenarioFault fault) {
    return (long) (fault.strength() * MICROS_PER_SECOND);
  }

  private void replace(EmulatedModelServer server, long drainMicros) {
    fleet.drain(server.name(), drainMicros);
    fleet.startCold();
  }

  private void killAndReplace(EmulatedModelServer server, long outageMicros) {
    server.kill();
    testBed
        .scheduler()
        .after(
            outageMicros,
            () -> {
              fleet.setState(server.name(), EndpointState.GONE);
              fleet.startCold();
            });
  }

  /**
   * Replaces the affected share of the workers in batches, spread evenly over the duration of the
   * fault. Workers that have ended before their batch is due are skipped.
   */
  private void replaceInBatches(ScenarioFault fault) {
    List<EmulatedModelServer> workers = fleet.selectReady(fault.share());
    int batchSize = Math.max(1, (int) Math.round(workers.size() * RELEASE_BATCH_SHARE));
    int batches = (workers.size() + batchSize - 1) / batchSize;
    for (int i = 0; i < batches; i++) {
      List<EmulatedModelServer> batch =
          workers.subList(i * batchSize, Math.min(workers.size(), (i + 1) * batchSize));
      testBed
          .scheduler()
          .after(fault.duration() * i / batches, () -> replaceRunning(batch, drainTime(fault)));
    }
  }

  private void replaceRunning(List<EmulatedModelServer> batch, long drainMicros) {
    for (EmulatedModelServer server : batch) {
      if (server.isRunning()) {
        replace(server, drainMicros);
      }
    }
  }
}

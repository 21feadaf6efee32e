package switchgap.testbed.experiment;

import java.time.Duration;
import java.util.Map;
import java.util.function.Consumer;
import switchgap.policy.api.AttemptOutcome;
import switchgap.policy.api.LoadReport;
import switchgap.router.Attempt;
import switchgap.router.Response;
import switchgap.router.RouterCore;
import switchgap.router.WorkerCommand;
import switchgap.router.WorkerEntry;
import switchgap.router.WorkerTransport;
import switchgap.testbed.emulator.EmulatedExecution;
import switchgap.testbed.emulator.EmulatedWorker;
import switchgap.testbed.emulator.FunctionCatalogue;
import switchgap.testbed.emulator.FunctionModel;
import switchgap.testbed.emulator.WorkerOutcome;

/**
 * Connects one router with the emulated workers in virtual time; each message takes the network
 * delay.
 */
final class VirtualTimeWorkerTransport implements WorkerTransport {
  private static final long DELAY_MICROS = VirtualTimeTestBed.NETWORK_DELAY_MICROS;
  private static final int UNKNOWN_CONCURRENCY = -1;
  private static final byte[] EMPTY_BODY = {};

  private final VirtualTimeRouter router;
  private final VirtualTimeScheduler scheduler;
  private final VirtualTimeFleet fleet;
  private final FunctionCatalogue catalogue;
  private final boolean reportsLoad;

  /** {@code reportsLoad} is true if workers report utilization and queue length. */
  VirtualTimeWorkerTransport(
      VirtualTimeRouter router,
      VirtualTimeScheduler scheduler,
      VirtualTimeFleet fleet,
      FunctionCatalogue catalogue,
      boolean reportsLoad) {
    this.router = router;
    this.scheduler = scheduler;
    this.fleet = fleet;
    this.catalogue = catalogue;
    this.reportsLoad = reportsLoad;
  }

  @Override
  public void startAttempt(Attempt attempt, Duration timeout) {
    EmulatedWorker worker = fleet.worker(attempt.worker().name());
    FunctionModel function = catalogue.find(attempt.request().function());
    scheduler.after(
        DELAY_MICROS,
        () -> {
          if (router.isStopped() || isUnreachable(worker)) {
            postAfterNetworkDelay(
                core ->
                    core.attemptEnded(
                        attempt, AttemptOutcome.CONNECT_FAILED, LoadReport.NONE, null));
          } else {
            execute(attempt, worker, function);
          }
        });
  }

  private void execute(Attempt attempt, EmulatedWorker worker, FunctionModel function) {
    attempt.attach(
        worker.execute(
            function,
            (outcome, concurrency) ->
                postAfterNetworkDelay(
                    core ->
                        core.attemptEnded(
                            attempt,
                            attemptOutcome(outcome),
                            loadReport(worker, concurrency),
                            Response.succeeded(200, Map.of(), EMPTY_BODY)))));
  }

  private static boolean isUnreachable(EmulatedWorker worker) {
    return worker == null || worker.isKilled();
  }

  /** Posts a worker's response to the router after the network delay. */
  private void postAfterNetworkDelay(Consumer<RouterCore> event) {
    scheduler.after(DELAY_MICROS, () -> router.post(event));
  }

  private static AttemptOutcome attemptOutcome(WorkerOutcome outcome) {
    return switch (outcome) {
      case SUCCEEDED -> AttemptOutcome.SUCCEEDED;
      case NOT_LOADED -> AttemptOutcome.NOT_LOADED;
      case NO_CAPACITY -> AttemptOutcome.REJECTED;
      case FAILED -> AttemptOutcome.FAILED;
    };
  }

  private LoadReport loadReport(EmulatedWorker worker, int concurrency) {
    return reportsLoad
        ? new LoadReport(worker.utilization(), worker.inFlight(), worker.queued(), concurrency)
        : LoadReport.ofConcurrency(concurrency);
  }

  @Override
  public AttemptOutcome abandon(Attempt attempt) {
    EmulatedWorker worker = fleet.worker(attempt.worker().name());
    scheduler.after(
        DELAY_MICROS,
        () -> {
          if (worker != null && attempt.attachment() instanceof EmulatedExecution execution) {
            worker.cancel(execution);
          }
        });
    return AttemptOutcome.TIMED_OUT;
  }

  @Override
  public void requestReplicas(
      WorkerEntry entry, String function, int replicas, WorkerCommand command) {
    EmulatedWorker worker = fleet.worker(entry.name());
    scheduler.after(
        DELAY_MICROS,
        () -> {
          if (isUnreachable(worker)) {
            router.post(core -> core.loadCommandEnded(command, AttemptOutcome.CONNECT_FAILED, 0));
          } else if (replicas == 0) {
            int loadedReplicas = worker.replicas(function);
            postAfterNetworkDelay(
                core -> core.loadCommandEnded(command, AttemptOutcome.SUCCEEDED, loadedReplicas));
          } else {
            loadReplicas(worker, function, replicas, command);
          }
        });
  }

  private void loadReplicas(
      EmulatedWorker worker, String function, int replicas, WorkerCommand command) {
    worker.load(
        catalogue.find(function),
        replicas,
        (outcome, loadedReplicas) ->
            postAfterNetworkDelay(
                core -> core.loadCommandEnded(command, loadOutcome(outcome), loadedReplicas)));
  }

  private static AttemptOutcome loadOutcome(WorkerOutcome outcome) {
    return switch (outcome) {
      case SUCCEEDED -> AttemptOutcome.SUCCEEDED;
      case NO_CAPACITY -> AttemptOutcome.REJECTED;
      case NOT_LOADED, FAILED -> AttemptOutcome.FAILED;
    };
  }

  @Override
  public void unload(WorkerEntry entry, String function, WorkerCommand command) {
    EmulatedWorker worker = fleet.worker(entry.name());
    if (worker != null) {
      scheduler.after(DELAY_MICROS, () -> worker.unload(function));
    }
    scheduler.after(2 * DELAY_MICROS, () -> router.post(core -> core.unloadEnded(command)));
  }

  @Override
  public void probe(WorkerEntry entry, WorkerCommand command) {
    EmulatedWorker worker = fleet.worker(entry.name());
    scheduler.after(
        2 * DELAY_MICROS,
        () ->
            router.post(
                core -> core.probeEnded(command, probeOutcome(worker), probeReport(worker))));
  }

  private static AttemptOutcome probeOutcome(EmulatedWorker worker) {
    return isUnreachable(worker) ? AttemptOutcome.CONNECT_FAILED : AttemptOutcome.SUCCEEDED;
  }

  private LoadReport probeReport(EmulatedWorker worker) {
    return worker == null ? LoadReport.NONE : loadReport(worker, UNKNOWN_CONCURRENCY);
  }

  @Override
  public void abandon(WorkerCommand command) {}

  @Override
  public void requestEndpointList() {}
}

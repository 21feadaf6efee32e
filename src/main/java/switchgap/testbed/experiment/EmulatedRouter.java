package switchgap.testbed.experiment;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import switchgap.policy.api.AttemptOutcome;
import switchgap.policy.api.LoadReport;
import switchgap.router.AdmissionGate;
import switchgap.router.Attempt;
import switchgap.router.Response;
import switchgap.router.RouterCore;
import switchgap.router.WorkerCommand;
import switchgap.router.WorkerEntry;
import switchgap.router.WorkerTransport;
import switchgap.testbed.emulator.EmulatedExecution;
import switchgap.testbed.emulator.EmulatedWorker;
import switchgap.testbed.emulator.FunctionModel;
import switchgap.testbed.emulator.WorkerOutcome;

/**
 * The program's own core and admission gate in simulated time; its transport reaches the emulated
 * workers after a network delay.
 */
final class EmulatedRouter implements WorkerTransport {
  private static final byte[] NOTHING = {};
  private final Emulator emulator;
  private final long startedAt;
  private final List<Consumer<RouterCore>> events = new ArrayList<>();
  private AdmissionGate gate;
  private boolean tickScheduled;
  private long wakeUpAt = Long.MAX_VALUE;
  private boolean stopped;

  EmulatedRouter(Emulator emulator) {
    this.emulator = emulator;
    this.startedAt = emulator.scheduler.now();
  }

  void gate(AdmissionGate admissionGate) {
    gate = admissionGate;
    post(core -> {});
  }

  AdmissionGate gate() {
    return gate;
  }

  /** The process dies: what it had in flight is lost. */
  void stop() {
    stopped = true;
  }

  Duration now() {
    return Duration.ofNanos((emulator.scheduler.now() - startedAt) * 1000);
  }

  void post(Consumer<RouterCore> event) {
    if (stopped) {
      return;
    }
    events.add(event);
    if (!tickScheduled) {
      tickScheduled = true;
      emulator.scheduler.after(emulator.tickMicros, this::tick);
    }
  }

  private void tick() {
    tickScheduled = false;
    if (stopped) {
      return;
    }
    List<Consumer<RouterCore>> batch = new ArrayList<>(events);
    events.clear();
    gate.core().tick(now(), batch);
    Duration nextDue = gate.core().nextDue();
    long at = nextDue == null ? Long.MAX_VALUE : startedAt + nextDue.toNanos() / 1000 + 1;
    if (at < wakeUpAt || wakeUpAt <= emulator.scheduler.now()) {
      wakeUpAt = at;
      emulator.scheduler.after(
          at - emulator.scheduler.now(),
          () -> {
            if (wakeUpAt == at && !tickScheduled && !stopped) {
              wakeUpAt = Long.MAX_VALUE;
              tick();
            }
          });
    }
  }

  private LoadReport loadReport(EmulatedWorker emulatedWorker, int concurrency) {
    return emulator.scenario.reportsLoad()
        ? new LoadReport(
            emulatedWorker.utilization(),
            emulatedWorker.inFlight(),
            emulatedWorker.queued(),
            concurrency)
        : LoadReport.ofConcurrency(concurrency);
  }

  @Override
  public void startAttempt(Attempt attempt, Duration timeout) {
    EmulatedWorker emulatedWorker = emulator.worker(attempt.worker().name());
    FunctionModel model = emulator.catalogue.find(attempt.request().function());
    emulator.scheduler.after(
        emulator.networkDelayMicros,
        () -> {
          if (stopped || emulatedWorker == null || emulatedWorker.isDead()) {
            emulator.scheduler.after(
                emulator.networkDelayMicros,
                () ->
                    post(
                        core ->
                            core.attemptEnded(
                                attempt, AttemptOutcome.CONNECT_FAILED, LoadReport.NONE, null)));
            return;
          }
          attempt.attach(
              emulatedWorker.execute(
                  model,
                  (outcome, concurrency) ->
                      emulator.scheduler.after(
                          emulator.networkDelayMicros,
                          () ->
                              post(
                                  core ->
                                      core.attemptEnded(
                                          attempt,
                                          switch (outcome) {
                                            case SUCCEEDED -> AttemptOutcome.SUCCEEDED;
                                            case NOT_LOADED -> AttemptOutcome.NOT_LOADED;
                                            case NO_CAPACITY -> AttemptOutcome.REJECTED;
                                            default -> AttemptOutcome.FAILED;
                                          },
                                          loadReport(emulatedWorker, concurrency),
                                          Response.succeeded(200, Map.of(), NOTHING))))));
        });
  }

  @Override
  public AttemptOutcome abandon(Attempt attempt) {
    EmulatedWorker emulatedWorker = emulator.worker(attempt.worker().name());
    emulator.scheduler.after(
        emulator.networkDelayMicros,
        () -> {
          if (emulatedWorker != null
              && attempt.attachment() instanceof EmulatedExecution execution) {
            emulatedWorker.cancel(execution);
          }
        });
    return AttemptOutcome.TIMED_OUT;
  }

  @Override
  public void requestReplicas(
      WorkerEntry worker, String function, int replicas, WorkerCommand command) {
    EmulatedWorker emulatedWorker = emulator.worker(worker.name());
    emulator.scheduler.after(
        emulator.networkDelayMicros,
        () -> {
          if (emulatedWorker == null || emulatedWorker.isDead()) {
            post(core -> core.loadCommandEnded(command, AttemptOutcome.CONNECT_FAILED, 0));
          } else if (replicas == 0) {
            int loadedReplicas = emulatedWorker.replicas(function);
            emulator.scheduler.after(
                emulator.networkDelayMicros,
                () ->
                    post(
                        core ->
                            core.loadCommandEnded(
                                command, AttemptOutcome.SUCCEEDED, loadedReplicas)));
          } else {
            emulatedWorker.load(
                emulator.catalogue.find(function),
                replicas,
                (outcome, loaded) ->
                    emulator.scheduler.after(
                        emulator.networkDelayMicros,
                        () ->
                            post(
                                core ->
                                    core.loadCommandEnded(
                                        command,
                                        outcome == WorkerOutcome.SUCCEEDED
                                            ? AttemptOutcome.SUCCEEDED
                                            : outcome == WorkerOutcome.NO_CAPACITY
                                                ? AttemptOutcome.REJECTED
                                                : AttemptOutcome.FAILED,
                                        loaded))));
          }
        });
  }

  @Override
  public void unload(WorkerEntry worker, String function, WorkerCommand command) {
    EmulatedWorker emulatedWorker = emulator.worker(worker.name());
    if (emulatedWorker != null) {
      emulator.scheduler.after(emulator.networkDelayMicros, () -> emulatedWorker.unload(function));
    }
    emulator.scheduler.after(
        2 * emulator.networkDelayMicros, () -> post(core -> core.unloadEnded(command)));
  }

  @Override
  public void probe(WorkerEntry worker, WorkerCommand command) {
    EmulatedWorker emulatedWorker = emulator.worker(worker.name());
    emulator.scheduler.after(
        2 * emulator.networkDelayMicros,
        () ->
            post(
                core ->
                    core.probeEnded(
                        command,
                        emulatedWorker == null || emulatedWorker.isDead()
                            ? AttemptOutcome.CONNECT_FAILED
                            : AttemptOutcome.SUCCEEDED,
                        emulatedWorker == null
                            ? LoadReport.NONE
                            : loadReport(emulatedWorker, -1))));
  }

  @Override
  public void abandon(WorkerCommand command) {}

  @Override
  public void requestEndpointList() {}
}

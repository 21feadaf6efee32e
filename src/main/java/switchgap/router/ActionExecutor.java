package switchgap.router;

import java.time.Duration;
import java.util.function.Consumer;
import switchgap.policy.api.AttemptOutcome;
import switchgap.policy.api.LoadReport;
import switchgap.policy.api.PolicyActions;

/**
 * Carries out what the policy decides, in the order in which it does. Belongs to the event loop.
 */
final class ActionExecutor implements PolicyActions {
  private final RouterCore core;
  private final WorkerTransport transport;
  private final CoreLimits limits;

  ActionExecutor(RouterCore core, WorkerTransport transport, CoreLimits limits) {
    this.core = core;
    this.transport = transport;
    this.limits = limits;
  }

  @Override
  public void startAttempt(int index, int worker, Duration timeout) {
    PendingRequest request = core.requests().get(index);
    Attempt attempt = request.addAttempt(core.endpoints().get(worker), core.now());
    attempt.timeoutScheduled(
        core.timers().schedule(core.now().plus(timeout), () -> timeOut(attempt)));
    transport.startAttempt(attempt, timeout);
  }

  /**
   * Asks what the abandoned exchange proves and ends the attempt in one step: see {@link
   * WorkerTransport#abandon}.
   */
  private void timeOut(Attempt attempt) {
    if (!attempt.hasEnded()) {
      core.attemptEnded(attempt, transport.abandon(attempt), LoadReport.NONE, null);
    }
  }

  @Override
  public void cancelAttempt(int index, int number) {
    Attempt attempt = core.requests().get(index).attempts().get(number);
    if (!attempt.hasEnded()) {
      transport.abandon(attempt);
      core.schedule(
          core.now(),
          () -> core.attemptEnded(attempt, AttemptOutcome.CANCELLED, LoadReport.NONE, null));
    }
  }

  @Override
  public void reject(int index, Duration retryAfter) {
    core.respond(core.requests().get(index), Response.rejected(retryAfter));
  }

  @Override
  public void fail(int index) {
    core.respond(core.requests().get(index), Response.failed());
  }

  @Override
  public void load(int worker, int function) {
    requestReplicas(worker, function, 1);
  }

  @Override
  public void queryReplicas(int worker, int function) {
    requestReplicas(worker, function, 0);
  }

  private void requestReplicas(int worker, int function, int replicas) {
    WorkerCommand command =
        command(
            worker,
            function,
            limits.commandTimeout(),
            late -> core.loadCommandEnded(late, AttemptOutcome.TIMED_OUT, 0));
    transport.requestReplicas(
        command.worker(), core.functions().nameOf(function), replicas, command);
  }

  /**
   * Given up after its timeout like a load, or at a silent worker it would keep a connection for
   * ever.
   */
  @Override
  public void unload(int worker, int function) {
    WorkerCommand command = command(worker, function, limits.commandTimeout(), core::unloadEnded);
    transport.unload(command.worker(), core.functions().nameOf(function), command);
  }

  @Override
  public void probe(int worker) {
    WorkerCommand command =
        command(
            worker,
            WorkerCommand.NO_FUNCTION,
            limits.probeTimeout(),
            late -> core.probeEnded(late, AttemptOutcome.TIMED_OUT, LoadReport.NONE));
    transport.probe(command.worker(), command);
  }

  private WorkerCommand command(
      int worker, int function, Duration timeout, Consumer<WorkerCommand> timedOut) {
    WorkerCommand command = new WorkerCommand(core.endpoints().get(worker), function, core.now());
    command.timeoutScheduled(
        core.timers()
            .schedule(
                core.now().plus(timeout),
                () -> {
                  transport.abandon(command);
                  timedOut.accept(command);
                }));
    return command;
  }

  @Override
  public void scheduleWakeUp(Duration delay, long token) {
    core.wakeUpLater(delay, token);
  }

  @Override
  public void subscribeToEndpoints() {
    transport.requestEndpointList();
  }

  @Override
  public void releaseRequest(int index) {
    core.requests().release(index);
  }

  @Override
  public void releaseFunction(int function) {
    core.functions().release(function);
  }

  @Override
  public void releaseWorker(int worker) {
    core.endpoints().release(worker);
  }
}

package switchgap.router;

import java.time.Duration;
import java.util.function.Consumer;
import switchgap.policy.api.AttemptOutcome;
import switchgap.policy.api.LoadCommandResult;
import switchgap.policy.api.LoadReport;
import switchgap.policy.api.ProbeResult;

/**
 * Starts load commands, replica queries, unloads and load probes, and ends each exactly once, on a
 * response or a timeout. Confined to the event loop thread.
 */
final class WorkerCommandLifecycle {
  private final CoreContext context;
  private final WorkerTransport transport;
  private final EndpointTable endpoints;
  private final NameIndex functions;
  private final CoreLimits limits;

  WorkerCommandLifecycle(
      CoreContext context,
      WorkerTransport transport,
      EndpointTable endpoints,
      NameIndex functions,
      CoreLimits limits) {
    this.context = context;
    this.transport = transport;
    this.endpoints = endpoints;
    this.functions = functions;
    this.limits = limits;
  }

  /**
   * Commands a worker to load replicas of a function; with 0 replicas, queries how many are loaded.
   */
  void requestReplicas(WorkerEntry worker, int function, int replicas) {
    WorkerCommand command =
        start(
            worker,
            function,
            limits.commandTimeout(),
            timedOutCommand -> loadEnded(timedOutCommand, AttemptOutcome.TIMED_OUT, 0));
    transport.requestReplicas(worker, functions.nameOf(function), replicas, command);
  }

  /**
   * Commands a worker to unload idle replicas of a function. The timeout is needed although the
   * policy does not use the result: without it, an unload at an unresponsive worker would occupy
   * its connection indefinitely.
   */
  void unload(WorkerEntry worker, int function) {
    WorkerCommand command = start(worker, function, limits.commandTimeout(), this::unloadEnded);
    transport.unload(worker, functions.nameOf(function), command);
  }

  /** Sends a load probe to a worker. */
  void probe(WorkerEntry worker) {
    WorkerCommand command =
        start(
            worker,
            WorkerCommand.NO_FUNCTION,
            limits.probeTimeout(),
            timedOutCommand ->
                probeEnded(timedOutCommand, AttemptOutcome.TIMED_OUT, LoadReport.NONE));
    transport.probe(worker, command);
  }

  private WorkerCommand start(
      WorkerEntry worker, int function, Duration timeout, Consumer<WorkerCommand> timeoutHandler) {
    WorkerCommand command = new WorkerCommand(worker, function, context.now());
    Runnable timeoutTask =
        () -> {
          transport.abandon(command);
          timeoutHandler.accept(command);
        };
    command.setTimeoutTimer(context.timers().schedule(context.now().plus(timeout), timeoutTask));
    return command;
  }

  /** See {@link RouterCore#loadCommandEnded}. */
  void loadEnded(WorkerCommand command, AttemptOutcome outcome, int loadedReplicas) {
    if (endOnce(command) && endpoints.isTracked(command.worker())) {
      Duration duration = context.now().minus(command.sentAt());
      context
          .policyEvents()
          .loadCommandEnded(
              new LoadCommandResult(
                  command.worker().index(), command.function(), outcome, duration, loadedReplicas));
    }
  }

  /** See {@link RouterCore#unloadEnded}. */
  void unloadEnded(WorkerCommand command) {
    endOnce(command);
  }

  /** See {@link RouterCore#probeEnded}. */
  void probeEnded(WorkerCommand command, AttemptOutcome outcome, LoadReport report) {
    if (endOnce(command) && endpoints.isTracked(command.worker())) {
      context.observer().probeEnded(command.worker(), outcome);
      context.policyEvents().probeEnded(new ProbeResult(command.worker().index(), outcome, report));
    }
  }

  /** Ends a command and cancels its timeout; returns false if it had ended already. */
  private boolean endOnce(WorkerCommand command) {
    boolean isFirstEnd = command.end();
    context.timers().cancel(command.timeoutTimer());
    return isFirstEnd;
  }
}

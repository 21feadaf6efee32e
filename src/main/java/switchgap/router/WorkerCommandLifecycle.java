package switchgap.router;

import java.time.Duration;
import java.util.function.Consumer;
import switchgap.policy.api.AttemptOutcome;
import switchgap.policy.api.LoadCommandResult;
import switchgap.policy.api.LoadReport;
import switchgap.policy.api.ProbeResult;

/**
 * Load commands, queries, unloads and probes from their start to their one end: by a response or
 * the timeout. Belongs to the event loop.
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

  /** Has a worker load replicas of a function; with 0 asks how many are loaded. */
  void requestReplicas(WorkerEntry worker, int function, int replicas) {
    WorkerCommand command =
        start(
            worker,
            function,
            limits.commandTimeout(),
            late -> loadEnded(late, AttemptOutcome.TIMED_OUT, 0));
    transport.requestReplicas(worker, functions.nameOf(function), replicas, command);
  }

  /**
   * Has idle replicas of a function unloaded. The timeout is needed although nobody waits for the
   * end: an unload at a silent worker would occupy its connection for ever.
   */
  void unload(WorkerEntry worker, int function) {
    WorkerCommand command = start(worker, function, limits.commandTimeout(), this::unloadEnded);
    transport.unload(worker, functions.nameOf(function), command);
  }

  /** Asks a worker for its load. */
  void probe(WorkerEntry worker) {
    WorkerCommand command =
        start(
            worker,
            WorkerCommand.NO_FUNCTION,
            limits.probeTimeout(),
            late -> probeEnded(late, AttemptOutcome.TIMED_OUT, LoadReport.NONE));
    transport.probe(worker, command);
  }

  private WorkerCommand start(
      WorkerEntry worker, int function, Duration timeout, Consumer<WorkerCommand> timedOut) {
    WorkerCommand command = new WorkerCommand(worker, function, context.now());
    Runnable timeOut =
        () -> {
          transport.abandon(command);
          timedOut.accept(command);
        };
    command.timeoutScheduled(context.timers().schedule(context.now().plus(timeout), timeOut));
    return command;
  }

  /** See {@link RouterCore#loadCommandEnded}. */
  void loadEnded(WorkerCommand command, AttemptOutcome outcome, int loadedReplicas) {
    if (endsFirst(command) && endpoints.isKnown(command.worker())) {
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
    endsFirst(command);
  }

  /** See {@link RouterCore#probeEnded}. */
  void probeEnded(WorkerCommand command, AttemptOutcome outcome, LoadReport report) {
    if (endsFirst(command) && endpoints.isKnown(command.worker())) {
      context.observer().probeEnded(command.worker(), outcome);
      context.policyEvents().probeEnded(new ProbeResult(command.worker().index(), outcome, report));
    }
  }

  /** Ends a command; returns whether this is its first end, the one that counts. */
  private boolean endsFirst(WorkerCommand command) {
    boolean first = command.end();
    context.timers().cancel(command.timeout());
    return first;
  }
}

package switchgap.protocol.resp;

import java.time.Duration;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Supplier;
import switchgap.net.NetworkTransport;
import switchgap.policy.api.AttemptOutcome;
import switchgap.policy.api.LoadReport;
import switchgap.router.Attempt;
import switchgap.router.CoreLimits;
import switchgap.router.PendingRequest;
import switchgap.router.Response;
import switchgap.router.RouterCore;
import switchgap.router.RouterDiagnostics;
import switchgap.router.WorkerCommand;
import switchgap.router.WorkerEntry;
import switchgap.router.WorkerTransport;

/**
 * Sends attempts, load commands and probes to workers as RESP commands. Selector threads read and
 * decode the replies. All methods must be called on the event loop.
 */
public final class RespWorkerTransport implements WorkerTransport {
  /** Prefix of each tag. It is not a hexadecimal digit, so that no tag equals a request's id. */
  private static final String TAG_PREFIX = "t";

  private final RespConnectionManager connectionManager;
  private final RespProtocolSettings protocolSettings;
  private final Duration loadCommandTimeout;
  private final Duration probeTimeout;
  private long lastTag;

  /**
   * Creates a transport without connections.
   *
   * @param limits limits on the connections
   * @param protocolSettings settings of commands and replies
   * @param coreLimits timeouts of load commands and probes, after which the core abandons them
   * @param clock the router's clock
   * @param events posts events to the router's event loop
   * @param diagnostics checks the invariants of attempts and load commands that are sent, and
   *     records each attempt sent and each connection closed
   */
  public RespWorkerTransport(
      NetworkTransport net,
      RespConnectionLimits limits,
      RespProtocolSettings protocolSettings,
      CoreLimits coreLimits,
      Supplier<Duration> clock,
      Consumer<Consumer<RouterCore>> events,
      RouterDiagnostics diagnostics) {
    this.connectionManager = new RespConnectionManager(net, limits, clock, events, diagnostics);
    this.protocolSettings = protocolSettings;
    this.loadCommandTimeout = coreLimits.commandTimeout();
    this.probeTimeout = coreLimits.probeTimeout();
  }

  /**
   * Closes idle connections and removes the pools of workers that have left the endpoint list. Must
   * be called at regular intervals.
   */
  public void sweep() {
    connectionManager.sweep();
  }

  /** The number of connections to workers that are open or being opened. */
  public int connectionCount() {
    return connectionManager.connectionCount();
  }

  @Override
  public void startAttempt(Attempt attempt, Duration timeout) {
    long deadlineNanos = Math.min(deadlineNanos(timeout), attempt.request().deadline().toNanos());
    RespExchange exchange =
        RespExchange.ofAttempt(
            attempt,
            remaining -> executeCommand(attempt.request(), remaining),
            deadlineNanos,
            (core, outcome, reply) -> attemptEnded(core, attempt, outcome, reply));
    attempt.attach(exchange);
    connectionManager.poolFor(attempt.worker()).submit(exchange);
  }

  private byte[] executeCommand(PendingRequest request, Duration remaining) {
    String requestClassName = protocolSettings.requestClassNames().get(request.requestClass());
    long maxMillis = Math.max(1, remaining.toMillis());
    return RespCommand.execute(
        request.id(), requestClassName, request.function(), maxMillis, request.body());
  }

  private void attemptEnded(
      RouterCore core, Attempt attempt, AttemptOutcome outcome, WorkerReply reply) {
    LoadReport loadReport =
        reply == null ? LoadReport.NONE : reply.loadReport(protocolSettings.reportsConcurrency());
    Response response =
        outcome == AttemptOutcome.SUCCEEDED ? Response.succeeded(0, Map.of(), reply.body()) : null;
    core.attemptEnded(attempt, outcome, loadReport, response);
  }

  @Override
  public boolean withdraw(Attempt attempt) {
    boolean isWaiting =
        attempt.attachment() instanceof RespExchange exchange
            && exchange.state() == RespExchange.State.WAITING;
    if (isWaiting) {
      abandon(attempt);
    }
    return isWaiting;
  }

  @Override
  public AttemptOutcome abandon(Attempt attempt) {
    return attempt.attachment() instanceof RespExchange exchange
        ? connectionManager.poolFor(attempt.worker()).abandon(exchange)
        : AttemptOutcome.TIMED_OUT;
  }

  @Override
  public void requestReplicas(
      WorkerEntry worker, String function, int replicas, WorkerCommand command) {
    String tag = nextTag();
    boolean isQuery = replicas == 0;
    RespExchange exchange =
        RespExchange.ofCommand(
            worker,
            tag,
            isQuery,
            RespCommand.load(tag, function, replicas),
            deadlineNanos(loadCommandTimeout),
            (core, outcome, reply) ->
                core.loadCommandEnded(command, outcome, reply == null ? 0 : reply.replicas()));
    submit(command, exchange);
  }

  @Override
  public void unload(WorkerEntry worker, String function, WorkerCommand command) {
    RespExchange exchange =
        RespExchange.ofCommand(
            worker,
            null,
            true,
            RespCommand.unload(function),
            deadlineNanos(loadCommandTimeout),
            (core, outcome, reply) -> core.unloadEnded(command));
    submit(command, exchange);
  }

  @Override
  public void probe(WorkerEntry worker, WorkerCommand command) {
    String tag = nextTag();
    RespExchange exchange =
        RespExchange.ofCommand(
            worker,
            tag,
            true,
            RespCommand.reportLoad(tag),
            deadlineNanos(probeTimeout),
            (core, outcome, reply) ->
                core.probeEnded(
                    command, outcome, reply == null ? LoadReport.NONE : reply.loadReport(false)));
    submit(command, exchange);
  }

  private void submit(WorkerCommand command, RespExchange exchange) {
    command.attach(exchange);
    connectionManager.poolFor(exchange.worker()).submit(exchange);
  }

  @Override
  public void abandon(WorkerCommand command) {
    if (command.attachment() instanceof RespExchange exchange) {
      connectionManager.poolFor(exchange.worker()).abandon(exchange);
    }
  }

  private long deadlineNanos(Duration timeout) {
    return connectionManager.nowNanos() + timeout.toNanos();
  }

  private String nextTag() {
    lastTag++;
    return TAG_PREFIX + Long.toString(lastTag, Character.MAX_RADIX);
  }

  @Override
  public void stopAccepting(WorkerEntry worker, boolean permanently) {
    if (!(worker.attachment() instanceof RespConnectionPool pool)) {
      return;
    }
    if (permanently) {
      pool.retire();
    } else {
      pool.rejectWaiting();
    }
  }

  /** Does nothing, because the event stream delivers the endpoint list. */
  @Override
  public void requestEndpointList() {}
}

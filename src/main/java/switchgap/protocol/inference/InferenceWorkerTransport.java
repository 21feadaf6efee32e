package switchgap.protocol.inference;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.function.Supplier;
import switchgap.net.HttpClientConnector;
import switchgap.net.KeyedWriters;
import switchgap.policy.api.AttemptOutcome;
import switchgap.router.Attempt;
import switchgap.router.RouterCore;
import switchgap.router.WorkerCommand;
import switchgap.router.WorkerEntry;
import switchgap.router.WorkerTransport;

/**
 * Sends attempts, load commands and probes to workers over the Open Inference Protocol (version 2
 * over HTTP) with its model repository extension. Load reports are read from response headers.
 *
 * <p>A response other than 2xx shows that a request was not executed only if its load report has
 * {@code named_metrics.executed=0}: with 404 the function is not loaded, with 429 or 503 the worker
 * has no capacity. After any other such response the request may have been executed. See
 * docs/router.md.
 */
public final class InferenceWorkerTransport implements WorkerTransport {
  private final HttpClientConnector connector;
  private final HttpPoolLimits poolLimits;
  private final KeyedWriters writers;
  private final Supplier<Duration> clock;
  private final Consumer<Consumer<RouterCore>> eventLoop;
  private final Runnable endpointListRequester;
  private final Set<HttpConnectionPool> pools = ConcurrentHashMap.newKeySet();

  /**
   * Creates a transport without connections; they are opened on demand.
   *
   * @param connector opens connections
   * @param poolLimits limits of each connection pool
   * @param writers threads that encode and send attempts
   * @param clock the router's clock
   * @param eventLoop posts an event to the router's event loop
   * @param endpointListRequester called to request the endpoint list
   */
  public InferenceWorkerTransport(
      HttpClientConnector connector,
      HttpPoolLimits poolLimits,
      KeyedWriters writers,
      Supplier<Duration> clock,
      Consumer<Consumer<RouterCore>> eventLoop,
      Runnable endpointListRequester) {
    this.connector = connector;
    this.poolLimits = poolLimits;
    this.writers = writers;
    this.clock = clock;
    this.eventLoop = eventLoop;
    this.endpointListRequester = endpointListRequester;
  }

  private WorkerPools poolsOf(WorkerEntry worker) {
    WorkerPools existing = (WorkerPools) worker.attachment();
    if (existing != null) {
      return existing;
    }
    WorkerPools created = new WorkerPools(newPool(worker), newPool(worker));
    worker.attach(created);
    pools.addAll(created.all());
    return created;
  }

  private HttpConnectionPool newPool(WorkerEntry worker) {
    return new HttpConnectionPool(
        connector, new InetSocketAddress(worker.host(), worker.port()), poolLimits);
  }

  /** Closes connections past their idle timeout; to be called periodically, on any thread. */
  public void closeExpiredConnections() {
    pools.forEach(pool -> pool.closeExpired(poolLimits.idleTimeout()));
  }

  /** Closes all idle connections; on any thread. */
  public void close() {
    pools.forEach(HttpConnectionPool::closeIdle);
  }

  @Override
  public void stopAccepting(WorkerEntry worker, boolean permanently) {
    if (!(worker.attachment() instanceof WorkerPools workerPools)) {
      return;
    }
    for (HttpConnectionPool pool : workerPools.all()) {
      if (permanently) {
        pools.remove(pool);
        pool.retire();
      } else {
        pool.rejectWaiting();
      }
    }
  }

  @Override
  public void startAttempt(Attempt attempt, Duration timeout) {
    AttemptExchange exchange =
        new AttemptExchange(
            attempt,
            poolsOf(attempt.worker()).attempts(),
            System.nanoTime() + sendTimeout(attempt, timeout).toNanos(),
            eventLoop);
    attempt.attach(exchange);
    writers.execute(attempt.worker().port(), exchange::submit);
  }

  /**
   * The time within which the attempt may be sent: its timeout, or less if its request has less.
   */
  private Duration sendTimeout(Attempt attempt, Duration timeout) {
    Duration limit = attempt.request().attemptLimit();
    Duration remaining = limit == null ? timeout : limit.minus(clock.get());
    return remaining.compareTo(timeout) < 0 ? remaining : timeout;
  }

  @Override
  public boolean withdraw(Attempt attempt) {
    return attempt.attachment() instanceof InferenceExchange exchange && exchange.withdraw();
  }

  @Override
  public AttemptOutcome abandon(Attempt attempt) {
    return attempt.attachment() instanceof InferenceExchange exchange
        ? exchange.abandon()
        : AttemptOutcome.TIMED_OUT;
  }

  @Override
  public void abandon(WorkerCommand command) {
    if (command.attachment() instanceof InferenceExchange exchange) {
      exchange.abandon();
    }
  }

  private void submit(
      WorkerEntry worker,
      WorkerCommand command,
      InferenceRequest request,
      CommandExchange.CommandResultListener listener) {
    CommandExchange exchange =
        new CommandExchange(worker, poolsOf(worker).commands(), request, listener);
    command.attach(exchange);
    exchange.submit();
  }

  @Override
  public void requestReplicas(
      WorkerEntry worker, String function, int replicas, WorkerCommand command) {
    InferenceRequest request =
        replicas == 0
            ? InferenceRequest.functionReady(function)
            : InferenceRequest.load(function, replicas);
    submit(
        worker,
        command,
        request,
        (outcome, report) -> {
          int loadedReplicas = loadedReplicas(outcome, report);
          eventLoop.accept(core -> core.loadCommandEnded(command, outcome, loadedReplicas));
        });
  }

  /** A worker that succeeds without reporting a number has loaded one replica. */
  private static int loadedReplicas(AttemptOutcome outcome, OrcaLoadReport report) {
    double reportedReplicas = report.namedMetric(OrcaLoadReport.REPLICAS);
    if (Double.isNaN(reportedReplicas)) {
      return outcome == AttemptOutcome.SUCCEEDED ? 1 : 0;
    }
    return (int) reportedReplicas;
  }

  @Override
  public void unload(WorkerEntry worker, String function, WorkerCommand command) {
    submit(
        worker,
        command,
        InferenceRequest.unload(function),
        (outcome, report) -> eventLoop.accept(core -> core.unloadEnded(command)));
  }

  @Override
  public void probe(WorkerEntry worker, WorkerCommand command) {
    submit(
        worker,
        command,
        InferenceRequest.health(),
        (outcome, report) ->
            eventLoop.accept(core -> core.probeEnded(command, outcome, report.toLoadReport())));
  }

  @Override
  public void requestEndpointList() {
    endpointListRequester.run();
  }
}

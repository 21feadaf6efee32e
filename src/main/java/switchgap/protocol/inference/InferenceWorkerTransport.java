package switchgap.protocol.inference;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import switchgap.net.HttpClientConnector;
import switchgap.net.KeyedWriters;
import switchgap.policy.api.AttemptOutcome;
import switchgap.router.Attempt;
import switchgap.router.RouterCore;
import switchgap.router.WorkerCommand;
import switchgap.router.WorkerEntry;
import switchgap.router.WorkerTransport;

/**
 * Sends attempts, load commands and probes to workers by the Open Inference Protocol (version 2,
 * HTTP) with its model repository extension and load reports as response headers.
 *
 * <p>What a response proves: a function that is not loaded is a 404, a worker without capacity a
 * 429 or 503, each only with {@code named_metrics.executed=0} in its load report; after any other
 * response that is no 2xx the request may have been executed. See docs/router.md.
 */
public final class InferenceWorkerTransport implements WorkerTransport {
  private final HttpClientConnector connectionFactory;
  private final HttpPoolLimits limits;
  private final KeyedWriters writers;
  private final Consumer<Consumer<RouterCore>> events;
  private final Runnable endpointListRequester;
  private final Set<HttpConnectionPool> pools = ConcurrentHashMap.newKeySet();

  /**
   * A transport without connections.
   *
   * @param connectionFactory opens connections
   * @param limits bounds of each pool of connections
   * @param writers threads that encode and send attempts
   * @param events posts to the router's event loop
   * @param endpointListRequester requests the endpoint list
   */
  public InferenceWorkerTransport(
      HttpClientConnector connectionFactory,
      HttpPoolLimits limits,
      KeyedWriters writers,
      Consumer<Consumer<RouterCore>> events,
      Runnable endpointListRequester) {
    this.connectionFactory = connectionFactory;
    this.limits = limits;
    this.writers = writers;
    this.events = events;
    this.endpointListRequester = endpointListRequester;
  }

  private WorkerPools poolsOf(WorkerEntry worker) {
    WorkerPools known = (WorkerPools) worker.attachment();
    if (known != null) {
      return known;
    }
    WorkerPools created = new WorkerPools(newPool(worker), newPool(worker));
    worker.attach(created);
    pools.addAll(created.all());
    return created;
  }

  private HttpConnectionPool newPool(WorkerEntry worker) {
    return new HttpConnectionPool(
        connectionFactory, new InetSocketAddress(worker.host(), worker.port()), limits);
  }

  /** Closes connections that have been idle for too long; to be called regularly, on any thread. */
  public void sweep() {
    pools.forEach(pool -> pool.sweep(limits.idleTimeout()));
  }

  /** Closes all idle connections; on any thread. */
  public void close() {
    pools.forEach(HttpConnectionPool::closeIdle);
  }

  @Override
  public void stopAccepting(WorkerEntry worker, boolean forGood) {
    if (!(worker.attachment() instanceof WorkerPools known)) {
      return;
    }
    for (HttpConnectionPool pool : known.all()) {
      if (forGood) {
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
            System.nanoTime() + timeout.toNanos(),
            events);
    attempt.attach(exchange);
    writers.execute(attempt.worker().port(), exchange::submit);
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
          int loaded = loadedReplicas(outcome, report);
          events.accept(core -> core.loadCommandEnded(command, outcome, loaded));
        });
  }

  /** A worker that reports no number and succeeds has one replica. */
  private static int loadedReplicas(AttemptOutcome outcome, OrcaLoadReport report) {
    double reported = report.namedMetric(OrcaLoadReport.REPLICAS);
    if (Double.isNaN(reported)) {
      return outcome == AttemptOutcome.SUCCEEDED ? 1 : 0;
    }
    return (int) reported;
  }

  @Override
  public void unload(WorkerEntry worker, String function, WorkerCommand command) {
    submit(
        worker,
        command,
        InferenceRequest.unload(function),
        (outcome, report) -> events.accept(core -> core.unloadEnded(command)));
  }

  @Override
  public void probe(WorkerEntry worker, WorkerCommand command) {
    submit(
        worker,
        command,
        InferenceRequest.health(),
        (outcome, report) ->
            events.accept(core -> core.probeEnded(command, outcome, report.toLoadReport())));
  }

  @Override
  public void requestEndpointList() {
    endpointListRequester.run();
  }
}

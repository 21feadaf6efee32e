package switchgap.router;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import switchgap.config.YamlDocument;
import switchgap.config.YamlRouterSettings;
import switchgap.net.HttpClientConnector;
import switchgap.net.KeyedWriters;
import switchgap.net.NetworkTransport;
import switchgap.policy.api.AttemptOutcome;
import switchgap.policy.api.AttemptResult;
import switchgap.policy.api.EventBatch;
import switchgap.policy.api.LoadCommandResult;
import switchgap.policy.api.PolicyActions;
import switchgap.policy.api.PolicyEvents;
import switchgap.policy.api.ProbeResult;
import switchgap.policy.api.WorkerState;
import switchgap.protocol.inference.HttpPoolLimits;
import switchgap.protocol.inference.InferenceWorkerTransport;
import switchgap.testing.EndpointUpdateBuilder;
import switchgap.testing.ReachableObjects;
import switchgap.testing.RecordingProxy;

/**
 * A core with connections to workers on real sockets. Ticks run on the test's thread. The policy
 * makes the decisions that the test passes in and records the results.
 */
final class SocketCoreFixture implements AutoCloseable {
  /** The result of an attempt, a load probe or a load command. */
  record Result(Kind kind, int request, AttemptOutcome outcome) {
    enum Kind {
      ATTEMPT,
      PROBE,
      LOAD
    }

    private static final int NO_REQUEST = -1;

    static Result attempt(int request, AttemptOutcome outcome) {
      return new Result(Kind.ATTEMPT, request, outcome);
    }

    static Result probe(AttemptOutcome outcome) {
      return new Result(Kind.PROBE, NO_REQUEST, outcome);
    }

    static Result load(AttemptOutcome outcome) {
      return new Result(Kind.LOAD, NO_REQUEST, outcome);
    }
  }

  static final Duration COMMAND_TIMEOUT = Duration.ofSeconds(1);
  static final Duration PROBE_TIMEOUT = Duration.ofMillis(200);

  /** Index of the only worker. */
  static final int WORKER = 0;

  /** Index of the only function. */
  static final int FUNCTION = 0;

  private static final Duration ATTEMPT_TIMEOUT = Duration.ofSeconds(4);
  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(5);
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(250);
  private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(30);
  private static final int MAX_BODY_BYTES = 1 << 16;
  private static final int DEFAULT_MAX_WAITING = 100;
  private static final long TICK_PAUSE_MILLIS = 2;
  private static final String SETTINGS =
      """
      router: {number: 0, of: 1, tick: 5ms, executions: 3}
      workloads: {again: {start_target: 300ms, time_limit: 5s, repeat: restartable}}
      functions: {f: {workload: again, memory: 1, lanes: 100}}
      """;

  private final long startNanos = System.nanoTime();
  private final Queue<Consumer<RouterCore>> events = new ConcurrentLinkedQueue<>();
  private final List<Consumer<PolicyActions>> decisions = new ArrayList<>();
  private final List<Result> results = new CopyOnWriteArrayList<>();
  private final PolicyEvents policyEvents =
      RecordingProxy.recording(PolicyEvents.class, this::recordResult);
  private final NetworkTransport network;
  private final KeyedWriters writers = new KeyedWriters(1, "test-writer");
  private final InferenceWorkerTransport transport;
  private final RouterCore core;
  private int requestCount;

  private SocketCoreFixture(int maxConnections, int maxWaiting) throws IOException {
    network = new NetworkTransport(1, "test-network");
    transport =
        new InferenceWorkerTransport(
            new HttpClientConnector(network, null, MAX_BODY_BYTES),
            new HttpPoolLimits(maxConnections, maxWaiting, CONNECT_TIMEOUT, IDLE_TIMEOUT),
            writers,
            this::now,
            events::add,
            () -> {});
    core =
        new RouterCore(
            new YamlRouterSettings(YamlDocument.read("settings", SETTINGS)),
            this::decide,
            transport,
            new CoreLimits(COMMAND_TIMEOUT, PROBE_TIMEOUT, 10));
  }

  static SocketCoreFixture withConnections(int maxConnections) throws IOException {
    return new SocketCoreFixture(maxConnections, DEFAULT_MAX_WAITING);
  }

  static SocketCoreFixture withConnectionsAndWaiting(int maxConnections, int maxWaiting)
      throws IOException {
    return new SocketCoreFixture(maxConnections, maxWaiting);
  }

  List<Result> results() {
    return results;
  }

  boolean hasResult(Result result) {
    return results.contains(result);
  }

  /** The connection pools that the transport holds. */
  Set<?> connectionPools() {
    return (Set<?>) ReachableObjects.field(transport, "pools");
  }

  /** Makes the policy issue a decision in the next tick. */
  void decide(Consumer<PolicyActions> decision) {
    decisions.add(decision);
  }

  private void decide(Duration now, EventBatch batch, PolicyActions actions) {
    batch.deliverTo(policyEvents);
    List.copyOf(decisions).forEach(decision -> decision.accept(actions));
    decisions.clear();
  }

  private void recordResult(Object event) {
    if (event instanceof AttemptResult attempt) {
      results.add(Result.attempt(attempt.request(), attempt.outcome()));
    } else if (event instanceof ProbeResult probe) {
      results.add(Result.probe(probe.outcome()));
    } else if (event instanceof LoadCommandResult load) {
      results.add(Result.load(load.outcome()));
    }
  }

  private Duration now() {
    return Duration.ofNanos(System.nanoTime() - startNanos);
  }

  void tick() {
    List<Consumer<RouterCore>> batch = new ArrayList<>();
    Consumer<RouterCore> event = events.poll();
    while (event != null) {
      batch.add(event);
      event = events.poll();
    }
    core.tick(now(), batch);
  }

  /** Runs ticks until the condition holds; returns false if it does not hold within the timeout. */
  boolean tickUntil(Duration timeout, BooleanSupplier condition) throws InterruptedException {
    long endNanos = System.nanoTime() + timeout.toNanos();
    while (System.nanoTime() < endNanos) {
      tick();
      if (condition.getAsBoolean()) {
        return true;
      }
      Thread.sleep(TICK_PAUSE_MILLIS);
    }
    return false;
  }

  /**
   * Runs ticks until the condition holds; fails the test if it does not hold within the timeout.
   */
  void awaitWithin(long timeoutMillis, BooleanSupplier condition) throws InterruptedException {
    assertThat(tickUntil(Duration.ofMillis(timeoutMillis), condition))
        .as("condition holds within %d ms; results so far: %s", timeoutMillis, results)
        .isTrue();
  }

  void awaitResultWithin(long timeoutMillis, Result result) throws InterruptedException {
    awaitWithin(timeoutMillis, () -> hasResult(result));
  }

  /** Delivers a complete endpoint list with this worker only. */
  void receiveWorker(String host, int port, WorkerState state) {
    EndpointUpdate update =
        EndpointUpdateBuilder.worker("worker").address(host, port).state(state).build();
    events.add(router -> router.endpointListReceived(true, List.of(update)));
    tick();
  }

  /** Makes the policy limit the attempts of a request to a time from now on. */
  void limitAttempts(int request, Duration span) {
    Duration until = now().plus(span);
    decide(actions -> actions.limitAttempts(request, until));
  }

  void receiveWorker(int port, WorkerState state) {
    receiveWorker("127.0.0.1", port, state);
  }

  /** Offers a request and starts its first attempt at the worker; returns the request's index. */
  int startRequest() {
    return startRequestAttemptedWithin(REQUEST_TIMEOUT);
  }

  /** As {@link #startRequest}, but no attempt may be sent after the given time from now. */
  int startRequestAttemptedWithin(Duration span) {
    PendingRequest request =
        PendingRequest.builder(
                "request-" + requestCount, "f", now().plus(REQUEST_TIMEOUT), new IgnoringListener())
            .payload(null, new byte[] {'1'})
            .replica(1, 1)
            .build();
    events.add(router -> router.accept(request));
    tick();
    int index = requestCount;
    requestCount++;
    limitAttempts(index, span);
    decide(actions -> actions.startAttempt(index, WORKER, ATTEMPT_TIMEOUT));
    tick();
    return index;
  }

  @Override
  public void close() {
    transport.close();
    writers.close();
    network.close();
  }

  private static final class IgnoringListener implements ResponseListener {
    @Override
    public void responded(PendingRequest request, Response response) {}

    @Override
    public void deadlineMissed(PendingRequest request, Response lateResponse) {}
  }
}

package switchgap.policy;

import static org.assertj.core.api.Assertions.assertThat;
import static switchgap.policy.AttemptEnd.succeeded;
import static switchgap.policy.TestEvents.list;
import static switchgap.policy.TestEvents.replicaLoaded;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import switchgap.policy.api.PolicyActions;
import switchgap.policy.api.PolicyEvents;
import switchgap.policy.api.RequestArrival;
import switchgap.policy.api.RouterSettings;
import switchgap.policy.state.Function;
import switchgap.policy.state.IndexedTable;
import switchgap.testing.ReachableObjects;

/** Passes the events of a test to the policy of one router and records its actions as a trace. */
final class PolicyHarness implements PolicyActions {
  private static final int SEED = 7;
  private static final int TICK_MILLIS = 20;

  /** The two workers with the replicas of a function, in hash order. */
  record Replicas(int first, int second) {}

  private final RoutingPolicy policy;
  private final List<String> trace = new ArrayList<>();
  private final Map<Integer, Integer> lastWorkers = new HashMap<>();
  private BiConsumer<Integer, Integer> loadListener = (worker, function) -> {};
  private int nowMillis;
  private int scheduledWakeUps;

  PolicyHarness(RouterSettings settings) {
    policy = new RoutingPolicy(settings, SEED);
  }

  static Duration millis(long count) {
    return Duration.ofMillis(count);
  }

  /** Sets the listener to call with the worker and the function of each load command. */
  void onLoad(BiConsumer<Integer, Integer> listener) {
    loadListener = listener;
  }

  /** Runs one tick at this time with these events. */
  PolicyHarness at(int millis, Consumer<PolicyEvents> events) {
    nowMillis = millis;
    policy.tick(millis(millis), events::accept, this);
    return this;
  }

  /** Runs ticks whose only event is a wake-up, up to this time. */
  PolicyHarness until(int millis) {
    for (int time = nowMillis + TICK_MILLIS; time <= millis; time += TICK_MILLIS) {
      at(time, events -> events.wakeUp(0));
    }
    return this;
  }

  // Events

  /** Delivers the arrival of a request that times out after 2 s. */
  void requestArrives(PolicyEvents events, int request, int function) {
    requestArrives(events, request, function, 2000);
  }

  void requestArrives(PolicyEvents events, int request, int function, int timeoutMillis) {
    Duration deadline = millis(nowMillis + timeoutMillis);
    events.requestArrived(
        new RequestArrival(request, 0, 0, function, 50 + function, deadline, null, 100, 2));
  }

  void attemptEnds(PolicyEvents events, AttemptEnd end) {
    events.attemptEnded(end.result());
  }

  /** Lists four workers and reports concurrency until a function has two loaded replicas. */
  Replicas scaleToTwoReplicas(int function) {
    at(0, events -> list(events, 4)).at(10, events -> requestArrives(events, 0, function));
    int first = sentTo(0);
    int[] second = {-1};
    onLoad((worker, loaded) -> second[0] = worker);
    at(60, events -> attemptEnds(events, succeeded(0, first).withDuration(50).withConcurrency(3)));
    for (int i = 0; i < 20; i++) {
      int time = 100 + 60 * i;
      at(time, events -> requestArrives(events, 1, function));
      int worker = sentTo(1);
      at(
          time + 50,
          events -> attemptEnds(events, succeeded(1, worker).withDuration(50).withConcurrency(3)));
    }
    assertThat(targetReplicas(function)).isEqualTo(2);
    at(1400, events -> replicaLoaded(events, second[0], function, 100));
    return new Replicas(first, second[0]);
  }

  // The policy's state and its recorded actions

  int targetReplicas(int function) {
    return functions().get(function).targetReplicas();
  }

  @SuppressWarnings("unchecked") // the field is declared with this type
  private IndexedTable<Function> functions() {
    return (IndexedTable<Function>)
        ReachableObjects.field(ReachableObjects.field(policy, "state"), "functions");
  }

  /** The number of elements in all tables of the policy. */
  long reachableElements() {
    return ReachableObjects.count(policy, this);
  }

  int scheduledWakeUps() {
    return scheduledWakeUps;
  }

  String trace() {
    return String.join("\n", trace) + "\n";
  }

  void assertTrace(String name) throws IOException {
    assertThat(trace()).isEqualTo(expectedTrace(name));
  }

  private static String expectedTrace(String name) throws IOException {
    try (InputStream input = PolicyHarness.class.getResourceAsStream(name + ".txt")) {
      return input == null ? "" : new String(input.readAllBytes(), StandardCharsets.UTF_8);
    }
  }

  /** The number of recorded actions that start with this text. */
  long count(String action) {
    return trace.stream().filter(line -> line.contains(" " + action)).count();
  }

  int attemptsOf(int request) {
    return (int) count("send request " + request + " ");
  }

  /** The worker that a request was last sent to, -1 if none or if the request is released. */
  int sentTo(int request) {
    return lastWorkers.getOrDefault(request, -1);
  }

  /** The worker of the very first attempt, which is the first one in hash order. */
  int firstWorker() {
    return workersSentTo().get(0);
  }

  /** The workers of all attempts, in the order of the attempts. */
  List<Integer> workersSentTo() {
    return trace.stream()
        .filter(line -> line.contains(" send "))
        .map(line -> line.charAt(line.indexOf("worker ") + 7) - '0')
        .toList();
  }

  /** The worker of the last load command for function 0. */
  int lastLoadedAt() {
    return Integer.parseInt(trace().replaceAll("(?s).*load function 0 at worker (\\d).*", "$1"));
  }

  // Actions

  private void record(String action) {
    trace.add(nowMillis + " " + action);
  }

  @Override
  public void startAttempt(int request, int worker, Duration timeout) {
    lastWorkers.put(request, worker);
    record(
        "send request " + request + " to worker " + worker + " for " + timeout.toMillis() + " ms");
  }

  @Override
  public void limitSends(int worker, Duration until) {
    record("limit worker " + worker + " to " + (until == null ? "-" : until.toMillis() + " ms"));
  }

  @Override
  public void limitAttempts(int request, Duration until) {
    record("limit request " + request + " to " + (until == null ? "-" : until.toMillis() + " ms"));
  }

  @Override
  public void cancelAttempt(int request, int attempt) {
    record("cancel request " + request + " attempt " + attempt);
  }

  @Override
  public void reject(int request, Duration retryAfter) {
    record("reject request " + request);
  }

  @Override
  public void fail(int request) {
    record("fail request " + request);
  }

  @Override
  public void load(int worker, int function) {
    loadListener.accept(worker, function);
    record("load function " + function + " at worker " + worker);
  }

  @Override
  public void queryReplicas(int worker, int function) {
    record("query function " + function + " at worker " + worker);
  }

  @Override
  public void unload(int worker, int function) {
    record("unload function " + function + " at worker " + worker);
  }

  @Override
  public void probe(int worker) {
    record("probe worker " + worker);
  }

  @Override
  public void scheduleWakeUp(Duration delay, long token) {
    scheduledWakeUps++;
  }

  @Override
  public void subscribeToEndpoints() {
    record("subscribe");
  }

  @Override
  public void releaseRequest(int request) {
    lastWorkers.remove(request);
    record("release request " + request);
  }

  @Override
  public void releaseFunction(int function) {
    record("release function " + function);
  }

  @Override
  public void releaseWorker(int worker) {
    record("release worker " + worker);
  }
}

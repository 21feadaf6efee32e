package switchgap.policy;

import static org.assertj.core.api.Assertions.assertThat;
import static switchgap.policy.PolicyHarness.millis;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;
import switchgap.policy.api.AttemptOutcome;
import switchgap.policy.api.AttemptResult;
import switchgap.policy.api.LoadCommandResult;
import switchgap.policy.api.LoadReport;
import switchgap.policy.api.PolicyEvents;
import switchgap.policy.api.ProbeResult;
import switchgap.policy.api.RequestArrival;
import switchgap.policy.state.IndexAllocator;
import switchgap.testing.ReachableObjects;

/**
 * Runs the policy of one router with random events: outcomes of all kinds at random times, endpoint
 * lists in which workers drain, leave, return and restart, and clients that disconnect. {@link
 * PolicyRules} checks each decision when it is made. All random numbers come from the seed.
 */
final class RandomFleet extends NoActions {
  /** Length of a run, mean intervals of its events and number of its functions. */
  record Load(int seconds, int arrivalMillis, int endpointChangeMillis, int functions) {}

  private final IndexAllocator requestIndices = new IndexAllocator();
  private final RandomEndpoints endpoints = new RandomEndpoints();
  private final IndexAllocator functionIndices = new IndexAllocator();
  private final TreeMap<Duration, List<Consumer<PolicyEvents>>> due = new TreeMap<>();
  private final Map<Integer, TrackedRequest> requests = new HashMap<>();
  private final RoutingPolicy policy;
  private final PolicyRules rules;
  private SplittableRandom random = new SplittableRandom(1);
  private Duration now = Duration.ZERO;
  private int attempts;
  private int retries;
  private int loadCommands;
  private long nextRequest;

  RandomFleet(TestSettings settings, long seed) {
    policy = new RoutingPolicy(settings, seed);
    rules = new PolicyRules(settings);
  }

  int attempts() {
    return attempts;
  }

  int retries() {
    return retries;
  }

  int loadCommands() {
    return loadCommands;
  }

  /** The number of elements in all tables of the policy. */
  long reachableElements() {
    return ReachableObjects.count(policy, this);
  }

  /** Runs under load, and then until all requests and commands have ended. */
  void run(long seed, Load load) {
    random = new SplittableRandom(seed);
    later(0, endpoints::listInitial);
    long end = load.seconds * 1000L;
    for (long time = 1; time < end; time += interval(load.arrivalMillis)) {
      String function = "f" + random.nextInt(load.functions);
      later(time, events -> requestArrives(events, function));
    }
    for (long time = 3000; time < end; time += interval(load.endpointChangeMillis)) {
      later(time, events -> endpoints.change(events, random, now));
    }
    Duration settled = now.plus(millis(end + 40_000));
    runUntil(settled.minus(millis(1000)));
    later(0, endpoints::listAllReady);
    runUntil(settled);
  }

  private int interval(int meanMillis) {
    return 1 + random.nextInt(2 * meanMillis);
  }

  private void later(long millis, Consumer<PolicyEvents> event) {
    due.computeIfAbsent(now.plus(millis(millis)), time -> new ArrayList<>()).add(event);
  }

  private void runUntil(Duration end) {
    while (!due.isEmpty() && due.firstKey().compareTo(end) <= 0) {
      Map.Entry<Duration, List<Consumer<PolicyEvents>>> tick = due.pollFirstEntry();
      now = tick.getKey();
      policy.tick(now, events -> tick.getValue().forEach(event -> event.accept(events)), this);
    }
  }

  private void requestArrives(PolicyEvents events, String functionName) {
    int index = requestIndices.allocate(nextRequest++);
    TrackedRequest request = new TrackedRequest(now.plus(millis(200 + random.nextInt(1800))));
    requests.put(index, request);
    rules.requestArrived(now);
    long hash = functionName.hashCode();
    int function = functionIndices.allocate(hash);
    events.requestArrived(
        new RequestArrival(index, 0, 0, function, hash, request.deadline(), null, 100, 2));
    if (random.nextInt(40) == 0) {
      later(random.nextInt(300), later -> disconnect(later, index, request));
    }
  }

  private void disconnect(PolicyEvents events, int index, TrackedRequest request) {
    if (requests.get(index) == request && !request.isClosed()) {
      request.close();
      events.clientDisconnected(index);
    }
  }

  @Override
  public void startAttempt(int index, int worker, Duration timeout) {
    TrackedRequest request = requests.get(index);
    long name = endpoints.nameOf(worker);
    rules.checkAttempt(request, now, timeout);
    endpoints.assertReady(worker);
    if (request.mayHaveExecuted()) {
      rules.checkRetry(request, now, endpoints.nameOf(request.firstWorker()), name);
    }
    rules.checkSlowStart(worker, endpoints.startedAt(worker), now);
    int attempt = request.attempts();
    retries += attempt > 0 ? 1 : 0;
    attempts++;
    request.attemptStarted(worker, now);
    AttemptOutcome outcome = RandomOutcomes.ofAttempt(random);
    long duration =
        outcome == AttemptOutcome.TIMED_OUT
            ? timeout.toMillis()
            : Math.min(timeout.toMillis(), 1 + random.nextInt(120));
    later(
        duration,
        events -> {
          request.attemptEnded(attempt, outcome);
          if (outcome == AttemptOutcome.SUCCEEDED && !request.isClosed()) {
            request.close();
            rules.checkResponse(request, now);
          }
          LoadReport report = LoadReport.ofConcurrency(random.nextInt(4) - 1);
          events.attemptEnded(
              new AttemptResult(
                  index, attempt, worker, outcome, millis(duration), request.isClosed(), report));
        });
  }

  @Override
  public void reject(int index, Duration retryAfter) {
    rules.checkRejection(requests.get(index), now);
    requests.get(index).close();
  }

  @Override
  public void fail(int index) {
    rules.checkFailure(requests.get(index), now);
    requests.get(index).close();
  }

  @Override
  public void load(int worker, int function) {
    endpoints.assertReady(worker);
    loadCommands++;
    rules.checkLoadCommand(now);
    commandEndsLater(worker, function);
  }

  @Override
  public void queryReplicas(int worker, int function) {
    commandEndsLater(worker, function);
  }

  private void commandEndsLater(int worker, int function) {
    AttemptOutcome outcome = RandomOutcomes.ofCommand(random);
    long duration = outcome == AttemptOutcome.TIMED_OUT ? 10_000 : 5 + random.nextInt(1500);
    int loaded = outcome == AttemptOutcome.SUCCEEDED ? 1 : 0;
    later(
        duration,
        events ->
            events.loadCommandEnded(
                new LoadCommandResult(worker, function, outcome, millis(duration), loaded)));
  }

  @Override
  public void probe(int worker) {
    long name = endpoints.nameOf(worker);
    later(
        2,
        events -> {
          int index = endpoints.indexOf(name);
          if (index >= 0) {
            LoadReport report = new LoadReport(0.3, random.nextInt(5), 0, -1);
            events.probeEnded(new ProbeResult(index, AttemptOutcome.SUCCEEDED, report));
          }
        });
  }

  @Override
  public void scheduleWakeUp(Duration delay, long token) {
    due.computeIfAbsent(now.plus(delay), time -> new ArrayList<>())
        .add(events -> events.wakeUp(token));
  }

  @Override
  public void releaseRequest(int index) {
    TrackedRequest request = requests.remove(index);
    assertThat(request.isClosed()).isTrue();
    assertThat(request.inFlight()).isZero();
    requestIndices.release(index);
  }

  @Override
  public void releaseFunction(int function) {
    functionIndices.release(function);
  }

  @Override
  public void releaseWorker(int worker) {
    rules.workerReleased(worker);
    endpoints.released(worker);
  }

  /** Asserts that no request, function or non-zero worker count is left after a run. */
  void assertNothingIsLeft() {
    assertThat(requests).isEmpty();
    assertThat(requestIndices.size()).isZero();
    assertThat(functionIndices.size()).isZero();
    assertThat(ReachableObjects.field(ReachableObjects.field(policy, "loader"), "pendingLoads"))
        .as("pendingLoads")
        .isEqualTo(0);
    Object state = ReachableObjects.field(policy, "state");
    for (Object worker : (Iterable<?>) ReachableObjects.field(state, "workers")) {
      for (String count : List.of("inFlight", "waitingForLoad", "pendingCommands", "queuedAhead")) {
        assertThat(ReachableObjects.field(worker, count)).as(count).isEqualTo(0);
      }
    }
  }
}

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
 * PolicyInvariants} checks each decision when it is made. All random numbers come from the seed.
 */
final class RandomFleet extends NoActions {
  /** Length of a run, mean intervals of its events and number of its functions. */
  record Load(int seconds, int arrivalMillis, int endpointChangeMillis, int functions) {}

  private final IndexAllocator requestIndices = new IndexAllocator();
  private final RandomEndpoints endpoints = new RandomEndpoints();
  private final IndexAllocator functionIndices = new IndexAllocator();
  private final TreeMap<Duration, List<Consumer<PolicyEvents>>> eventsByTime = new TreeMap<>();
  private final Map<Integer, TrackedRequest> requests = new HashMap<>();
  private final RoutingPolicy policy;
  private final PolicyInvariants invariants;
  private SplittableRandom random = new SplittableRandom(1);
  private Duration now = Duration.ZERO;
  private int attempts;
  private int retries;
  private int loadCommands;
  private long nextRequest;

  RandomFleet(TestSettings settings, long seed) {
    policy = new RoutingPolicy(settings, seed);
    invariants = new PolicyInvariants(settings);
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
    schedule(0, endpoints::listAll);
    long end = load.seconds * 1000L;
    for (long time = 1; time < end; time += randomInterval(load.arrivalMillis)) {
      String function = "f" + random.nextInt(load.functions);
      schedule(time, events -> requestArrives(events, function));
    }
    for (long time = 3000; time < end; time += randomInterval(load.endpointChangeMillis)) {
      schedule(time, events -> endpoints.change(events, random, now));
    }
    Duration endTime = now.plus(millis(end + 40_000));
    runUntil(endTime.minus(millis(1000)));
    schedule(0, endpoints::listAllReady);
    runUntil(endTime);
  }

  private int randomInterval(int meanMillis) {
    return 1 + random.nextInt(2 * meanMillis);
  }

  private void schedule(long millis, Consumer<PolicyEvents> event) {
    eventsByTime.computeIfAbsent(now.plus(millis(millis)), time -> new ArrayList<>()).add(event);
  }

  private void runUntil(Duration end) {
    while (!eventsByTime.isEmpty() && eventsByTime.firstKey().compareTo(end) <= 0) {
      Map.Entry<Duration, List<Consumer<PolicyEvents>>> tick = eventsByTime.pollFirstEntry();
      now = tick.getKey();
      policy.tick(now, events -> tick.getValue().forEach(event -> event.accept(events)), this);
    }
  }

  private void requestArrives(PolicyEvents events, String functionName) {
    int index = requestIndices.allocate(nextRequest++);
    TrackedRequest request = new TrackedRequest(now.plus(millis(200 + random.nextInt(1800))));
    requests.put(index, request);
    invariants.requestArrived(now);
    long hash = functionName.hashCode();
    int function = functionIndices.allocate(hash);
    events.requestArrived(
        new RequestArrival(index, 0, 0, function, hash, request.deadline(), null, 100, 2));
    if (random.nextInt(40) == 0) {
      schedule(random.nextInt(300), later -> disconnect(later, index, request));
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
    long workerId = endpoints.idOf(worker);
    invariants.checkAttempt(request, now, timeout);
    endpoints.assertReady(worker);
    if (request.mayHaveExecuted()) {
      invariants.checkRetry(request, now, endpoints.idOf(request.firstWorker()), workerId);
    }
    invariants.checkSlowStart(worker, endpoints.startedAt(worker), now);
    int attempt = request.attempts();
    retries += attempt > 0 ? 1 : 0;
    attempts++;
    request.attemptStarted(worker, now);
    AttemptOutcome outcome = RandomOutcomes.nextForAttempt(random);
    long duration =
        outcome == AttemptOutcome.TIMED_OUT
            ? timeout.toMillis()
            : Math.min(timeout.toMillis(), 1 + random.nextInt(120));
    schedule(
        duration,
        events -> {
          request.attemptEnded(attempt, outcome);
          if (outcome == AttemptOutcome.SUCCEEDED && !request.isClosed()) {
            request.close();
            invariants.checkResponse(request, now);
          }
          LoadReport report = LoadReport.ofConcurrency(random.nextInt(4) - 1);
          events.attemptEnded(
              new AttemptResult(
                  index, attempt, worker, outcome, millis(duration), request.isClosed(), report));
        });
  }

  @Override
  public void reject(int index, Duration retryAfter) {
    invariants.checkRejection(requests.get(index), now);
    requests.get(index).close();
  }

  @Override
  public void fail(int index) {
    invariants.checkFailure(requests.get(index), now);
    requests.get(index).close();
  }

  @Override
  public void load(int worker, int function) {
    endpoints.assertReady(worker);
    loadCommands++;
    invariants.checkLoadCommand(now);
    scheduleCommandEnd(worker, function);
  }

  @Override
  public void queryReplicas(int worker, int function) {
    scheduleCommandEnd(worker, function);
  }

  private void scheduleCommandEnd(int worker, int function) {
    AttemptOutcome outcome = RandomOutcomes.nextForCommand(random);
    long duration = outcome == AttemptOutcome.TIMED_OUT ? 10_000 : 5 + random.nextInt(1500);
    int loaded = outcome == AttemptOutcome.SUCCEEDED ? 1 : 0;
    schedule(
        duration,
        events ->
            events.loadCommandEnded(
                new LoadCommandResult(worker, function, outcome, millis(duration), loaded)));
  }

  @Override
  public void probe(int worker) {
    long workerId = endpoints.idOf(worker);
    schedule(
        2,
        events -> {
          int index = endpoints.indexOf(workerId);
          if (index >= 0) {
            LoadReport report = new LoadReport(0.3, random.nextInt(5), 0, -1);
            events.probeEnded(new ProbeResult(index, AttemptOutcome.SUCCEEDED, report));
          }
        });
  }

  @Override
  public void scheduleWakeUp(Duration delay, long token) {
    eventsByTime
        .computeIfAbsent(now.plus(delay), time -> new ArrayList<>())
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
    invariants.workerReleased(worker);
    endpoints.released(worker);
  }

  /** Asserts that no request, function or non-zero worker count is left after a run. */
  void assertNoStateIsLeft() {
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

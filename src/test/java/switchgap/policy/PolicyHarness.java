package switchgap.policy;

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
import switchgap.policy.api.AttemptOutcome;
import switchgap.policy.api.AttemptResult;
import switchgap.policy.api.DeduplicationScope;
import switchgap.policy.api.EndpointEntry;
import switchgap.policy.api.Idempotency;
import switchgap.policy.api.LoadReport;
import switchgap.policy.api.PolicyActions;
import switchgap.policy.api.PolicyEvents;
import switchgap.policy.api.RequestArrival;
import switchgap.policy.api.RouterSettings;
import switchgap.policy.api.WorkerState;
import switchgap.policy.state.Function;
import switchgap.policy.state.IndexedTable;
import switchgap.testing.ReachableObjects;

/**
 * The tests' one helper: terms that a test changes, one router under them, and its decisions as
 * printed lines.
 */
final class PolicyHarness implements PolicyActions {
  static class TestSettings implements RouterSettings {
    Idempotency idempotency = Idempotency.IDEMPOTENT;
    DeduplicationScope deduplicationScope = DeduplicationScope.ALL;
    boolean loadsOnDemand;
    int routerCount = 2;
    int routerIndex;
    double loadQuotaBase = 0;
    double loadQuotaPerRequest = 0;
    Duration loadQuotaWindow = Duration.ZERO;
    double idleMemoryPrice = 0;
    double probePrice = 0;
    int maxAttempts = 4;

    @Override
    public int routerIndex() {
      return routerIndex;
    }

    @Override
    public int routerCount() {
      return routerCount;
    }

    @Override
    public int zone() {
      return 0;
    }

    @Override
    public Duration tickInterval() {
      return ms(5);
    }

    @Override
    public int requestClassCount() {
      return 1;
    }

    @Override
    public Duration latencyObjective(int worker) {
      return ms(400);
    }

    @Override
    public Duration requestTimeout(int worker) {
      return ms(2000);
    }

    @Override
    public double priorityWeight(int worker) {
      return 1;
    }

    @Override
    public double lateValueShare(int worker) {
      return 0.2;
    }

    @Override
    public Idempotency idempotency(int worker) {
      return idempotency;
    }

    @Override
    public DeduplicationScope deduplicationScope(int worker) {
      return deduplicationScope;
    }

    @Override
    public Duration deduplicationWindow(int worker) {
      return ms(1000);
    }

    @Override
    public int tenantCount() {
      return 0;
    }

    @Override
    public double tenantQuota(int c) {
      return 0;
    }

    @Override
    public double overQuotaWeight() {
      return 0.2;
    }

    @Override
    public int maxAttempts() {
      return maxAttempts;
    }

    @Override
    public boolean hedgingAllowed() {
      return false;
    }

    @Override
    public boolean probesAllowed() {
      return true;
    }

    @Override
    public boolean cancellationAllowed() {
      return true;
    }

    @Override
    public boolean retryAfterAllowed() {
      return false;
    }

    @Override
    public Duration maxRetryAfter() {
      return ms(500);
    }

    @Override
    public double coldCapacityShare() {
      return 0.2;
    }

    @Override
    public Duration warmUpDuration() {
      return ms(10_000);
    }

    @Override
    public double coldOverloadMultiple() {
      return 2;
    }

    @Override
    public Duration coldOverloadWindow() {
      return ms(1000);
    }

    @Override
    public boolean loadsOnDemand() {
      return loadsOnDemand;
    }

    @Override
    public boolean loadCommandsAllowed() {
      return true;
    }

    @Override
    public Duration replicaIdleTimeout() {
      return ms(10_000);
    }

    @Override
    public double loadQuotaBase() {
      return loadQuotaBase;
    }

    @Override
    public double loadQuotaPerRequest() {
      return loadQuotaPerRequest;
    }

    @Override
    public Duration loadQuotaWindow() {
      return loadQuotaWindow;
    }

    @Override
    public double idleMemoryPrice() {
      return idleMemoryPrice;
    }

    @Override
    public double[] workerKindMemory() {
      return new double[] {4000};
    }

    @Override
    public double crossZonePrice() {
      return 0;
    }

    @Override
    public double probePrice() {
      return probePrice;
    }

    @Override
    public boolean capacityReported() {
      return false;
    }

    @Override
    public boolean pollsEndpointList() {
      return false;
    }

    @Override
    public Duration endpointPollInterval() {
      return ms(10_000);
    }
  }

  private final RoutingPolicy policy;
  private final List<String> lines = new ArrayList<>();
  private int at;
  int wakes;

  /** Told of each load order: the worker and the function. */
  BiConsumer<Integer, Integer> onLoad = (worker, function) -> {};

  private final Map<Integer, Integer> sent = new HashMap<>();

  PolicyHarness(RouterSettings terms) {
    policy = new RoutingPolicy(terms, 7);
  }

  static Duration ms(long n) {
    return Duration.ofMillis(n);
  }

  /** A round at this time, with what comes in; no event is a round for the clock alone. */
  PolicyHarness at(int millis, Consumer<PolicyEvents> events) {
    at = millis;
    policy.tick(ms(millis), events::accept, this);
    return this;
  }

  /** Rounds for the clock alone, each 20 ms. */
  PolicyHarness until(int millis) {
    for (int time = at + 20; time <= millis; time += 20) {
      at(time, events -> events.wakeUp(0));
    }
    return this;
  }

  static void list(PolicyEvents events, int workers) {
    events.endpointListStarted(true);
    for (int worker = 0; worker < workers; worker++) {
      worker(events, worker, WorkerState.READY, null);
    }
    events.endpointListEnded();
  }

  static void change(PolicyEvents events, int worker, WorkerState standing, Duration started) {
    events.endpointListStarted(false);
    worker(events, worker, standing, started);
    events.endpointListEnded();
  }

  private static void worker(
      PolicyEvents events, int worker, WorkerState standing, Duration started) {
    events.endpointListed(
        new EndpointEntry(worker, 1000 + worker, standing, worker % 2, worker % 2, 0, 1, started));
  }

  void requestArrives(PolicyEvents events, int job, int function) {
    requestArrives(events, job, function, 2000);
  }

  void requestArrives(PolicyEvents events, int job, int function, int left) {
    events.requestArrived(
        new RequestArrival(job, 0, 0, function, 50 + function, ms(at + left), null, 100, 2));
  }

  void attemptEnds(
      PolicyEvents events,
      int job,
      int execution,
      int worker,
      AttemptOutcome end,
      int took,
      int crowd) {
    events.attemptEnded(
        new AttemptResult(
            job,
            execution,
            worker,
            end,
            ms(took),
            end == AttemptOutcome.SUCCEEDED,
            LoadReport.ofConcurrency(crowd)));
  }

  /** The copy target of a function. */
  int targetReplicas(int function) {
    return functions().get(function).targetReplicas();
  }

  @SuppressWarnings("unchecked")
  private IndexedTable<Function> functions() {
    return (IndexedTable<Function>)
        ReachableObjects.field(ReachableObjects.field(policy, "state"), "functions");
  }

  /** All that the module holds: elements of its tables. */
  long reachableElements() {
    return ReachableObjects.count(policy, this);
  }

  String trace() {
    return String.join("\n", lines) + "\n";
  }

  /** Executions of a job so far. */
  int attemptsOf(int job) {
    return (int) lines.stream().filter(line -> line.contains(" send job " + job + " ")).count();
  }

  /** Where a job was sent last, -1 if nowhere. */
  int sentTo(int job) {
    return sent.getOrDefault(job, -1);
  }

  long count(String start) {
    return lines.stream().filter(line -> line.contains(" " + start)).count();
  }

  static String keptTrace(String name) throws IOException {
    try (InputStream in = PolicyHarness.class.getResourceAsStream(name + ".txt")) {
      return in == null ? "" : new String(in.readAllBytes(), StandardCharsets.UTF_8);
    }
  }

  private void record(String what) {
    lines.add(at + " " + what);
  }

  @Override
  public void startAttempt(int job, int worker, Duration allow) {
    sent.put(job, worker);
    record("send job " + job + " to worker " + worker + " for " + allow.toMillis() + " ms");
  }

  @Override
  public void cancelAttempt(int job, int execution) {
    record("cancel job " + job + " execution " + execution);
  }

  @Override
  public void reject(int job, Duration comeBack) {
    record("push back job " + job);
  }

  @Override
  public void fail(int job) {
    record("kill job " + job);
  }

  @Override
  public void load(int worker, int function) {
    onLoad.accept(worker, function);
    record("hold function " + function + " at worker " + worker);
  }

  @Override
  public void queryReplicas(int worker, int function) {
    record("ask function " + function + " at worker " + worker);
  }

  @Override
  public void unload(int worker, int function) {
    record("drop function " + function + " at worker " + worker);
  }

  @Override
  public void probe(int worker) {
    record("probe worker " + worker);
  }

  @Override
  public void scheduleWakeUp(Duration after, long token) {
    wakes++;
  }

  @Override
  public void subscribeToEndpoints() {
    record("subscribe");
  }

  @Override
  public void releaseRequest(int job) {
    sent.remove(job);
    record("forget job " + job);
  }

  @Override
  public void releaseFunction(int function) {
    record("forget function " + function);
  }

  @Override
  public void releaseWorker(int worker) {
    record("forget worker " + worker);
  }
}

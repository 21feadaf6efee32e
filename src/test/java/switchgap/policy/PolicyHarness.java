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

/** The tests' one helper: terms that a test changes, one router under them, and its decisions as printed lines. */
final class PolicyHarness implements PolicyActions {
    static class TestSettings implements RouterSettings {
        Idempotency repeat = Idempotency.IDEMPOTENT;
        DeduplicationScope group = DeduplicationScope.ALL;
        boolean loads;
        int routers = 2;
        int me;
        double free = 0;
        double share = 0;
        Duration span = Duration.ZERO;
        double price = 0;
        double probePrice = 0;
        int executions = 4;

        @Override public int routerIndex() { return me; }

        @Override public int routerCount() { return routers; }

        @Override public int zone() { return 0; }

        @Override public Duration tickInterval() { return ms(5); }

        @Override public int requestClassCount() { return 1; }

        @Override public Duration latencyObjective(int w) { return ms(400); }

        @Override public Duration requestTimeout(int w) { return ms(2000); }

        @Override public double priorityWeight(int w) { return 1; }

        @Override public double lateValueShare(int w) { return 0.2; }

        @Override public Idempotency idempotency(int w) { return repeat; }

        @Override public DeduplicationScope deduplicationScope(int w) { return group; }

        @Override public Duration deduplicationWindow(int w) { return ms(1000); }

        @Override public int tenantCount() { return 0; }

        @Override public double tenantQuota(int c) { return 0; }

        @Override public double overQuotaWeight() { return 0.2; }

        @Override public int maxAttempts() { return executions; }

        @Override public boolean hedgingAllowed() { return false; }

        @Override public boolean probesAllowed() { return true; }

        @Override public boolean cancellationAllowed() { return true; }

        @Override public boolean retryAfterAllowed() { return false; }

        @Override public Duration maxRetryAfter() { return ms(500); }

        @Override public double coldCapacityShare() { return 0.2; }

        @Override public Duration warmUpDuration() { return ms(10_000); }

        @Override public double coldOverloadMultiple() { return 2; }

        @Override public Duration coldOverloadWindow() { return ms(1000); }

        @Override public boolean loadsOnDemand() { return loads; }

        @Override public boolean loadCommandsAllowed() { return true; }

        @Override public Duration replicaIdleTimeout() { return ms(10_000); }

        @Override public double loadQuotaBase() { return free; }

        @Override public double loadQuotaPerRequest() { return share; }

        @Override public Duration loadQuotaWindow() { return span; }

        @Override public double idleMemoryPrice() { return price; }

        @Override public double[] workerKindMemory() { return new double[] {4000}; }

        @Override public double crossZonePrice() { return 0; }

        @Override public double probePrice() { return probePrice; }

        @Override public boolean capacityReported() { return false; }

        @Override public boolean pollsEndpointList() { return false; }

        @Override public Duration endpointPollInterval() { return ms(10_000); }
    }

    private final RoutingPolicy decide;
    private final List<String> lines = new ArrayList<>();
    private int at;
    int wakes;
    /** Told of each load order: the worker and the function. */
    BiConsumer<Integer, Integer> onHold = (w, f) -> {};
    private final Map<Integer, Integer> sent = new HashMap<>();

    PolicyHarness(RouterSettings terms) {
        decide = new RoutingPolicy(terms, 7);
    }

    static Duration ms(long n) {
        return Duration.ofMillis(n);
    }

    /** A round at this time, with what comes in; no event is a round for the clock alone. */
    PolicyHarness at(int millis, Consumer<PolicyEvents> events) {
        at = millis;
        decide.tick(ms(millis), events::accept, this);
        return this;
    }

    /** Rounds for the clock alone, each 20 ms. */
    PolicyHarness until(int millis) {
        for (int t = at + 20; t <= millis; t += 20) {
            at(t, f -> f.wakeUp(0));
        }
        return this;
    }

    static void list(PolicyEvents f, int workers) {
        f.endpointListStarted(true);
        for (int w = 0; w < workers; w++) {
            worker(f, w, WorkerState.READY, null);
        }
        f.endpointListEnded();
    }

    static void change(PolicyEvents f, int worker, WorkerState standing, Duration started) {
        f.endpointListStarted(false);
        worker(f, worker, standing, started);
        f.endpointListEnded();
    }

    private static void worker(PolicyEvents f, int w, WorkerState standing, Duration started) {
        f.endpointListed(new EndpointEntry(w, 1000 + w, standing, w % 2, w % 2, 0, 1, started));
    }

    void job(PolicyEvents f, int job, int function) {
        job(f, job, function, 2000);
    }

    void job(PolicyEvents f, int job, int function, int left) {
        f.requestArrived(new RequestArrival(job, 0, 0, function, 50 + function, ms(at + left), null, 100, 2));
    }

    void end(PolicyEvents f, int job, int execution, int worker, AttemptOutcome end, int took, int crowd) {
        f.attemptEnded(new AttemptResult(job, execution, worker, end, ms(took),
            end == AttemptOutcome.SUCCEEDED, LoadReport.ofConcurrency(crowd)));
    }

    /** The copy target of a function. */
    int target(int function) {
        return functions().get(function).targetReplicas;
    }

    @SuppressWarnings("unchecked") private IndexedTable<Function> functions() {
        return (IndexedTable<Function>) ReachableObjects.field(ReachableObjects.field(decide, "state"),
            "functions");
    }

    /** All that the module holds: elements of its tables. */
    long held() {
        return ReachableObjects.by(decide, this);
    }

    String trace() {
        return String.join("\n", lines) + "\n";
    }

    /** Executions of a job so far. */
    int tries(int job) {
        return (int) lines.stream().filter(l -> l.contains(" send job " + job + " ")).count();
    }

    /** Where a job was sent last, -1 if nowhere. */
    int sentTo(int job) { return sent.getOrDefault(job, -1); }

    long count(String start) {
        return lines.stream().filter(l -> l.contains(" " + start)).count();
    }

    static String kept(String name) throws IOException {
        try (InputStream in = PolicyHarness.class.getResourceAsStream(name + ".txt")) {
            return in == null ? "" : new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    private void say(String what) {
        lines.add(at + " " + what);
    }

    @Override public void startAttempt(int job, int worker, Duration allow) {
        sent.put(job, worker);
        say("send job " + job + " to worker " + worker + " for " + allow.toMillis() + " ms");
    }

    @Override public void cancelAttempt(int job, int execution) {
        say("cancel job " + job + " execution " + execution);
    }

    @Override public void reject(int job, Duration comeBack) { say("push back job " + job); }

    @Override public void fail(int job) { say("kill job " + job); }

    @Override public void load(int worker, int function) {
        onHold.accept(worker, function);
        say("hold function " + function + " at worker " + worker);
    }

    @Override public void queryReplicas(int worker, int function) {
        say("ask function " + function + " at worker " + worker);
    }

    @Override public void unload(int worker, int function) {
        say("drop function " + function + " at worker " + worker);
    }

    @Override public void probe(int worker) { say("probe worker " + worker); }

    @Override public void scheduleWakeUp(Duration after, long token) { wakes++; }

    @Override public void subscribeToEndpoints() { say("subscribe"); }

    @Override public void releaseRequest(int job) {
        sent.remove(job);
        say("forget job " + job);
    }

    @Override public void releaseFunction(int function) { say("forget function " + function); }

    @Override public void releaseWorker(int worker) { say("forget worker " + worker); }
}

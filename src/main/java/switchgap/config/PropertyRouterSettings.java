package switchgap.config;

import java.time.Duration;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import switchgap.policy.api.DeduplicationScope;
import switchgap.policy.api.Idempotency;
import switchgap.policy.api.RouterSettings;

/** What a router is told at its start, path by path, read as terms; unknown paths are ignored, a needed one must be there. */
public final class PropertyRouterSettings implements RouterSettings {
    private final Map<String, String> lines;

    /** Of values by path: lists of plain values joined by commas, lists of objects as {@code .count}, {@code .0} and so on. */
    public PropertyRouterSettings(Map<String, String> lines) {
        this.lines = lines;
    }

    /** Of the simulator's path=value lines. */
    public static PropertyRouterSettings parse(String info) {
        Map<String, String> lines = new HashMap<>();
        for (String line : info.split("\n")) {
            int eq = line.indexOf('=');
            if (eq > 0) {
                lines.put(line.substring(0, eq).trim(), line.substring(eq + 1).trim());
            }
        }
        return new PropertyRouterSettings(lines);
    }

    private String text(String path) {
        String v = lines.get(path);
        if (v == null) {
            throw new IllegalArgumentException("setting " + path + " is absent");
        }
        return v;
    }

    private double real(String path) {
        String v = text(path);
        try {
            return Double.parseDouble(v);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("setting " + path + " is no number: " + v, e);
        }
    }

    /** What is not stated costs nothing. */
    private double cost(String path) {
        return lines.containsKey(path) ? real(path) : 0;
    }

    private int whole(String path) {
        return (int) real(path);
    }

    private Duration span(String path) {
        return Duration.ofNanos(Math.round(real(path) * 1000));
    }

    private boolean flag(String path) {
        String v = text(path);
        if (!v.equals("true") && !v.equals("false")) {
            throw new IllegalArgumentException("setting " + path + " is neither true nor false: " + v);
        }
        return v.equals("true");
    }

    /** One of the wire's words for a choice, each standing for the value at its place. */
    private <T> T choice(String path, String[] words, T[] values) {
        String v = text(path);
        for (int i = 0; i < words.length; i++) {
            if (words[i].equals(v)) {
                return values[i];
            }
        }
        throw new IllegalArgumentException("setting " + path + " has an unknown word: " + v);
    }

    private static String lane(int workload, String name) {
        return "Lanes." + workload + "." + name;
    }

    /** The place of a load report's field, or -1. */
    public int reportFieldIndex(String word) {
        String all = lines.get("Telemetry.Fields");
        String[] words = all == null ? new String[0] : all.split(",");
        for (int i = 0; i < words.length; i++) {
            if (words[i].equals(word)) {
                return i;
            }
        }
        return -1;
    }

    public boolean reportsConcurrency() {
        return lines.getOrDefault("Extra.SaysCompany", "false").equals("true");
    }

    /** The place of a name among {@code path.0.Name}, {@code path.1.Name} ..., for workloads (Lanes) and customers (Tenants). */
    public Map<String, Integer> namedIndices(String path) {
        Map<String, Integer> at = new HashMap<>();
        int count = lines.containsKey(path + ".count") ? whole(path + ".count") : 0;
        for (int i = 0; i < count; i++) { at.put(text(path + "." + i + ".Name"), i); }
        return at;
    }

    /** The place of a name in a list of plain values: zones, kinds of worker. */
    public Map<String, Integer> listIndices(String path) {
        Map<String, Integer> at = new HashMap<>();
        for (String word : text(path).split(",")) { at.put(word, at.size()); }
        return at;
    }

    /** How long an order to load may go unanswered. */
    public Duration loadCommandTimeout() {
        return span("Extra.LoadWaitUs");
    }

    /** How long opening a connection to a worker may take. */
    public Duration connectTimeout() {
        return span("Limits.DialTimeoutUs");
    }

    /** After so long workers close a connection that lies idle. */
    public Duration connectionIdleTimeout() {
        return span("Limits.ConnIdleUs");
    }

    /** Executions that one connection carries at a time. */
    public int attemptsPerConnection() {
        return whole("Limits.Multiplex");
    }

    /** Calls that may be held at a time. */
    public int maxPendingRequests() {
        return whole("Limits.MaxOpen");
    }

    @Override public int routerIndex() { return whole("Me"); }

    @Override public int routerCount() { return whole("Balancers"); }

    @Override public int zone() { return whole("MyZone"); }

    @Override public Duration tickInterval() { return span("TickUs"); }

    @Override public int requestClassCount() { return whole("Lanes.count"); }

    @Override public Duration latencyObjective(int w) { return span(lane(w, "AimUs")); }

    @Override public Duration requestTimeout(int w) { return span(lane(w, "DeadlineUs")); }

    @Override public double priorityWeight(int w) { return real(lane(w, "Worth")); }

    @Override public double lateValueShare(int w) { return real(lane(w, "LateValue")); }

    @Override public Idempotency idempotency(int w) {
        return choice(lane(w, "Effect"), new String[] {"retryable", "dedup", "fragile"},
            Idempotency.values());
    }

    @Override public DeduplicationScope deduplicationScope(int w) {
        return choice(lane(w, "Group"), new String[] {"all", "zone", "cell"}, DeduplicationScope.values());
    }

    @Override public Duration deduplicationWindow(int w) { return span(lane(w, "MemorySpanUs")); }

    @Override public int tenantCount() {
        return lines.containsKey("Tenants.count") ? whole("Tenants.count") : 0;
    }

    @Override public double tenantQuota(int c) { return real("Tenants." + c + ".QuotaPerS"); }

    @Override public double overQuotaWeight() { return real("OverShareWorth"); }

    @Override public int maxAttempts() { return whole("Limits.MaxAttempts"); }

    @Override public boolean hedgingAllowed() { return flag("Limits.SecondCopies"); }

    @Override public boolean probesAllowed() { return flag("Limits.Probes"); }

    @Override public boolean cancellationAllowed() { return flag("Limits.Cancel"); }

    @Override public boolean retryAfterAllowed() { return flag("Limits.RetryAfter"); }

    @Override public Duration maxRetryAfter() { return span("Limits.MaxRetryAfterUs"); }

    @Override public double coldCapacityShare() { return real("Guarantees.ColdFrom"); }

    @Override public Duration warmUpDuration() { return span("Guarantees.ColdUs"); }

    @Override public double coldOverloadMultiple() { return real("Guarantees.FallMultiple"); }

    @Override public Duration coldOverloadWindow() { return span("Guarantees.OverloadForUs"); }

    @Override public boolean loadsOnDemand() {
        return choice("Extra.IfCold", new String[] {"load", "miss"}, new Boolean[] {true, false});
    }

    @Override public boolean loadCommandsAllowed() { return flag("Extra.PlacementCalls"); }

    @Override public Duration replicaIdleTimeout() { return span("Extra.IdleLifeUs"); }

    @Override public double loadQuotaBase() { return real("Extra.LoadFree"); }

    @Override public double loadQuotaPerRequest() { return real("Extra.LoadRatio"); }

    @Override public Duration loadQuotaWindow() { return span("Extra.LoadSpanUs"); }

    @Override public double idleMemoryPrice() { return cost("Extra.MemoryPrice"); }

    @Override public double[] workerKindMemory() {
        try {
            return Arrays.stream(text("Extra.MachineMb").split(",")).mapToDouble(
                Double::parseDouble).toArray();
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("setting Extra.MachineMb is no list of numbers", e);
        }
    }

    @Override public double probePrice() { return cost("Costs.Probe"); }

    @Override public boolean capacityReported() {
        return choice("Weights", new String[] {"silent", "nominal", "rough", "live"},
            new Boolean[] {false, true, true, false});
    }

    @Override public double crossZonePrice() { return cost("Costs.CrossZone"); }

    @Override public boolean pollsEndpointList() {
        return choice("Discovery", new String[] {"subscribe", "automatic"}, new Boolean[] {true, false});
    }

    @Override public Duration endpointPollInterval() { return span("Guarantees.AskWithinUs"); }
}

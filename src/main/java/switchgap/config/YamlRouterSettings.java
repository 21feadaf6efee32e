package switchgap.config;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import switchgap.admission.AdmissionSettings;
import switchgap.admission.ServiceLevel;
import switchgap.policy.api.DeduplicationScope;
import switchgap.policy.api.Idempotency;
import switchgap.policy.api.RouterSettings;

/**
 * The terms that a page states, with the catalogue of functions, workloads, customers and zones by name. What the
 * page leaves out is taken as absent (no ration, no prices), never guessed.
 */
public final class YamlRouterSettings implements RouterSettings {
    /** A workload as the page states it. */
    public record RequestClassSettings(String name, Duration latencyObjective, Duration timeout,
        double priorityWeight, double lateValueShare, Idempotency idempotency,
        DeduplicationScope deduplicationScope, Duration deduplicationWindow) {}

    /** A function, or all whose names begin alike when the name ends in an asterisk. Memory in MB. */
    public record FunctionSettings(String name, int requestClass, double memoryMb, int slots,
        Duration loadTime, int tenant) {
        boolean fits(String asked) {
            return name.endsWith("*") ? asked.startsWith(name.substring(0, name.length() - 1))
                : name.equals(asked);
        }
    }

    /** The words of the key {@code repeat}, in the order in which a mistake names them. */
    private static final Map<String, Idempotency> IDEMPOTENCY_WORDS = new LinkedHashMap<>();

    static {
        IDEMPOTENCY_WORDS.put("restartable", Idempotency.IDEMPOTENT);
        IDEMPOTENCY_WORDS.put("fingerprinted", Idempotency.IDEMPOTENT_WITH_KEY);
        IDEMPOTENCY_WORDS.put("run-once", Idempotency.NON_IDEMPOTENT);
    }

    private final List<RequestClassSettings> kinds = new ArrayList<>();
    private final List<String> zones;
    private final List<String> machineKinds = new ArrayList<>();
    private final double[] machineMemory;
    private final List<String> customers = new ArrayList<>();
    private final List<Double> rates = new ArrayList<>();
    private final Map<String, FunctionSettings> named = new java.util.HashMap<>();
    private final List<FunctionSettings> families = new ArrayList<>();
    private final int self, routers, zone, mostExecutions;
    private final Duration tick, mostComeBack, coldSpan, fallSpan, keep, loadsSpan, askWithin;
    private final boolean second, probe, cancel, comeBack, onMiss, order, sizes, asks;
    private final boolean levels;
    private final boolean[] spared;
    private final ServiceLevel ceiling, pinned;
    private final double kept;
    private final Duration pinnedFor;
    private final double coldShare, multiple, free, share, memoryPrice, crossing, probePrice, overWorth;

    /** Reads the parts {@code router, zones, kinds, workloads, customers, functions, workers, rules, prices}. */
    public YamlRouterSettings(YamlDocument p) {
        zones = p.has("zones") ? p.textList("zones") : List.of("zone");
        YamlDocument r = p.section("router");
        routers = r.integer("of", 1, 100_000);
        self = r.integer("number", 0, routers - 1);
        zone = zoneOf(r, "zone");
        tick = r.duration("tick");
        if (tick.isZero()) { throw r.invalid("tick", "must be above 0"); }
        mostExecutions = r.integer("executions", 1, 64, 3);
        second = r.flag("second_executions", false);
        probe = r.flag("probes", true);
        cancel = r.flag("cancels", true);
        mostComeBack = r.duration("most_come_back", Duration.ZERO);
        comeBack = !mostComeBack.isZero();
        r.rejectUnknownKeys();
        YamlDocument m = p.optionalSection("kinds");
        machineMemory = new double[m.keys().size()];
        for (String k : m.keys()) {
            YamlDocument one = m.section(k);
            machineMemory[machineKinds.size()] = one.number("memory", 0, 1e9);
            machineKinds.add(k);
            one.rejectUnknownKeys();
        }
        YamlDocument w = p.section("workloads");
        for (String k : w.keys()) { kinds.add(requestClass(k, w.section(k))); }
        if (kinds.isEmpty()) { throw p.invalid("workloads", "names none"); }
        YamlDocument c = p.optionalSection("customers");
        for (String k : c.keys()) {
            YamlDocument one = c.section(k);
            customers.add(k);
            rates.add(one.number("rate", 0, 1e9));
            one.rejectUnknownKeys();
        }
        YamlDocument f = p.section("functions");
        for (String k : f.keys()) { function(k, f.section(k)); }
        YamlDocument x = p.optionalSection("workers");
        onMiss = x.choice("miss", MissHandling.class, MissHandling.ANSWERS) == MissHandling.LOADS;
        order = x.flag("orders", true);
        keep = x.duration("keep_alive", Duration.ofSeconds(10));
        sizes = x.flag("sizes_told", false);
        asks = x.flag("ask_for_list", false);
        askWithin = x.duration("ask_within", Duration.ofSeconds(10));
        x.rejectUnknownKeys();
        YamlDocument u = p.optionalSection("rules");
        coldShare = u.number("cold_share", 0, 1, 1);
        coldSpan = u.duration("cold_span", Duration.ofMillis(1)); // none stated: warm from the first moment
        if (coldSpan.isZero()) {
            throw u.invalid("cold_span", "must be above 0; leave it out where nothing is cold");
        }
        multiple = u.number("fall_multiple", 0, 1e6, 3);
        fallSpan = u.duration("fall_span", Duration.ofSeconds(1));
        if (fallSpan.isZero()) { throw u.invalid("fall_span", "must be above 0"); }
        free = u.number("loads_free", 0, 1e6, 0);
        share = u.number("loads_share", 0, 1e6, 0);
        loadsSpan = u.duration("loads_span", Duration.ZERO);
        u.rejectUnknownKeys();
        YamlDocument v = p.optionalSection("levels");
        levels = v.flag("act", true);
        ceiling = v.choice("ceiling", ServiceLevel.class, ServiceLevel.HOLD);
        pinned = v.choice("pin", ServiceLevel.class, null);
        pinnedFor = v.duration("pin_for", Duration.ofMinutes(10));
        kept = v.number("keep", 0, 0.999, 0);
        spared = new boolean[kinds.size()];
        for (String name : v.textList("spare")) {
            if (requestClassIndex(name) < 0) { throw v.invalid("spare", "'" + name + "' is no workload"); }
            spared[requestClassIndex(name)] = true;
        }
        v.rejectUnknownKeys();
        YamlDocument prices = p.optionalSection("prices");
        memoryPrice = prices.number("memory", 0, 1e3, 0);
        crossing = prices.number("crossing", 0, 1e3, 0);
        probePrice = prices.number("probe", 0, 1e3, 0);
        overWorth = prices.number("over_share_worth", 0, 1, 0.2);
        prices.rejectUnknownKeys();
    }

    private enum MissHandling { ANSWERS, LOADS }

    private RequestClassSettings requestClass(String name, YamlDocument k) {
        Duration target = k.duration("start_target");
        Duration limit = k.duration("time_limit");
        if (target.isZero()) { throw k.invalid("start_target", "must be above 0"); }
        if (limit.compareTo(target) < 0) {
            throw k.invalid("time_limit", "must not be under the start target");
        }
        Idempotency repeat = k.choice("repeat", IDEMPOTENCY_WORDS);
        if (repeat == null) { k.text("repeat"); }
        Duration memory = k.duration("memory_span", Duration.ZERO);
        if (repeat == Idempotency.IDEMPOTENT_WITH_KEY && memory.isZero()) {
            throw k.invalid("repeat",
                "a fingerprinted workload needs memory_span, the span for which repeats are known");
        }
        RequestClassSettings kind = new RequestClassSettings(name, target, limit,
            k.number("importance", 0, 1e6, 1),
            k.number("late_share", 0, 1, 0), repeat,
            k.choice("group", DeduplicationScope.class, DeduplicationScope.ALL), memory);
        k.rejectUnknownKeys();
        return kind;
    }

    private void function(String name, YamlDocument f) {
        int workload = requestClassIndex(f.text("workload"));
        if (workload < 0) {
            throw f.invalid("workload", "'" + f.text("workload") + "' must be one of "
                + String.join(", ", kinds.stream().map(RequestClassSettings::name).toList()));
        }
        String of = f.text("customer", null);
        int customer = of == null ? -1 : customers.indexOf(of);
        if (of != null && customer < 0) {
            throw f.invalid("customer", "'" + of + "' must be one of " + String.join(", ", customers));
        }
        FunctionSettings e = new FunctionSettings(name, workload, f.number("memory", 0, 1e9),
            f.integer("lanes", 1, 10_000),
            f.duration("load_time", null), customer);
        f.rejectUnknownKeys();
        if (name.endsWith("*")) {
            families.add(e);
        } else {
            named.put(name, e);
        }
    }

    private int zoneOf(YamlDocument p, String key) {
        String z = p.text(key, zones.get(0));
        int i = zones.indexOf(z);
        if (i < 0) { throw p.invalid(key, "'" + z + "' must be one of " + String.join(", ", zones)); }
        return i;
    }

    /** The entry of a function, or null: exact names first, then families in the order of the page. */
    public FunctionSettings function(String name) {
        FunctionSettings e = named.get(name);
        for (int i = 0; e == null && i < families.size(); i++) {
            e = families.get(i).fits(name) ? families.get(i) : null;
        }
        return e;
    }

    public RequestClassSettings requestClass(int workload) { return kinds.get(workload); }

    /** The index of a workload, or -1. */
    public int requestClassIndex(String name) {
        for (int i = 0; i < kinds.size(); i++) {
            if (kinds.get(i).name().equals(name)) { return i; }
        }
        return -1;
    }

    public int tenantIndex(String name) { return customers.indexOf(name); }

    public String tenantName(int customer) { return customers.get(customer); }

    public int zoneIndex(String name) { return zones.indexOf(name); }

    public String zoneName(int zone) { return zones.get(zone); }

    /** The index of a kind of worker; one past the known ones where it is not known. */
    public int workerKindIndex(String name) {
        int i = machineKinds.indexOf(name);
        return i < 0 ? machineKinds.size() : i;
    }

    /** What the page states for reduced levels. */
    public AdmissionSettings admissionSettings() {
        int n = kinds.size();
        double[] importance = new double[n];
        Idempotency[] repeats = new Idempotency[n];
        Duration[] targets = new Duration[n];
        for (int w = 0; w < n; w++) {
            importance[w] = kinds.get(w).priorityWeight();
            repeats[w] = kinds.get(w).idempotency();
            targets[w] = kinds.get(w).latencyObjective();
        }
        return new AdmissionSettings(importance, repeats, targets,
            rates.stream().mapToDouble(x -> x).toArray(), spared.clone(),
            ceiling, comeBack ? mostComeBack : null, kept);
    }

    /** Whether levels act at all. */
    public boolean admissionControlEnabled() { return levels; }

    /** The level that the page pins, null for none, and for how long from the start. */
    public ServiceLevel pinnedLevel() {
        return pinned;
    }

    public Duration pinDuration() { return pinnedFor; }

    @Override public int routerIndex() { return self; }

    @Override public int routerCount() { return routers; }

    @Override public int zone() { return zone; }

    @Override public Duration tickInterval() { return tick; }

    @Override public int requestClassCount() { return kinds.size(); }

    @Override public Duration latencyObjective(int w) { return kinds.get(w).latencyObjective(); }

    @Override public Duration requestTimeout(int w) { return kinds.get(w).timeout(); }

    @Override public double priorityWeight(int w) { return kinds.get(w).priorityWeight(); }

    @Override public double lateValueShare(int w) { return kinds.get(w).lateValueShare(); }

    @Override public Idempotency idempotency(int w) { return kinds.get(w).idempotency(); }

    @Override public DeduplicationScope deduplicationScope(int w) {
        return kinds.get(w).deduplicationScope();
    }

    @Override public Duration deduplicationWindow(int w) { return kinds.get(w).deduplicationWindow(); }

    @Override public int tenantCount() { return customers.size(); }

    @Override public double tenantQuota(int c) { return rates.get(c); }

    @Override public double overQuotaWeight() { return overWorth; }

    @Override public int maxAttempts() { return mostExecutions; }

    @Override public boolean hedgingAllowed() { return second; }

    @Override public boolean probesAllowed() { return probe; }

    @Override public boolean cancellationAllowed() { return cancel; }

    @Override public boolean retryAfterAllowed() { return comeBack; }

    @Override public Duration maxRetryAfter() { return mostComeBack; }

    @Override public double coldCapacityShare() { return coldShare; }

    @Override public Duration warmUpDuration() { return coldSpan; }

    @Override public double coldOverloadMultiple() { return multiple; }

    @Override public Duration coldOverloadWindow() { return fallSpan; }

    @Override public boolean loadsOnDemand() { return onMiss; }

    @Override public boolean loadCommandsAllowed() { return order; }

    @Override public Duration replicaIdleTimeout() { return keep; }

    @Override public double loadQuotaBase() { return free; }

    @Override public double loadQuotaPerRequest() { return share; }

    @Override public Duration loadQuotaWindow() { return loadsSpan; }

    @Override public double idleMemoryPrice() { return memoryPrice; }

    @Override public double[] workerKindMemory() { return machineMemory.clone(); }

    @Override public double crossZonePrice() { return crossing; }

    @Override public double probePrice() { return probePrice; }

    @Override public boolean capacityReported() { return sizes; }

    @Override public boolean pollsEndpointList() { return asks; }

    @Override public Duration endpointPollInterval() { return askWithin; }
}

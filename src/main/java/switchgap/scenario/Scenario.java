package switchgap.scenario;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.yaml.snakeyaml.LoaderOptions;
import org.yaml.snakeyaml.Yaml;
import org.yaml.snakeyaml.constructor.SafeConstructor;
import switchgap.config.YamlDocument;
import switchgap.emulator.EmulatedClients;
import switchgap.emulator.EmulatedWorker;
import switchgap.emulator.FunctionCatalogue;

/** A day as its page states it: fleet, terms, load, script, seed. */
public final class Scenario {
    /** A kind of worker: its share of the fleet and what it is. */
    record WorkerKind(String name, double share, int cores, double speed, double memory) {}

    /** One line of the script; {@code at} and {@code lasts} in microseconds of the day. */
    public record Fault(long at, FaultType verb, long lasts, double part, double size, String of) {}

    final String name;
    final long length;
    final long seed;
    final long slack;
    final String tick;
    final List<String> zones;
    final int workers, cellSize, slotsPerCore, queuePerCore, loadsAtOnce;
    final long keep;
    final double fetchShare, loadFails;
    final boolean eager, tellsLoad, onMissLoads;
    final List<WorkerKind> kinds = new ArrayList<>();
    final double storeTakes;
    final long storeDown, listLag;
    final int routers, executions;
    final double busiest;
    final boolean ownProcesses, split;
    final double rate, zipf;
    final int functions;
    final EmulatedClients.RetryBehaviour manner;
    final List<FunctionCatalogue.FunctionGroup> likes = new ArrayList<>();
    final List<EmulatedClients.RequestClassProfile> wishes = new ArrayList<>();
    final List<String> repeats = new ArrayList<>();
    final Map<String, Double> customers = new LinkedHashMap<>();
    final double coldShare, fallMultiple, loadsFree, loadsShare;
    final long coldSpan, fallSpan, loadsSpan, grace;
    final List<Fault> script = new ArrayList<>();
    private final Map<String, Object> raw;

    private Scenario(Path path, YamlDocument p, Map<String, Object> raw) {
        this.raw = raw;
        YamlDocument d = p.section("day");
        name = d.text("name", path.getFileName().toString().replaceAll("\\.ya?ml$", ""));
        length = micros(d.duration("length"));
        seed = (long) d.number("seed", 0, 1L << 50);
        slack = micros(d.duration("slack", Duration.ofMillis(25)));
        tick = d.text("tick", "5ms");
        d.rejectUnknownKeys();
        zones = p.has("zones") ? p.textList("zones") : List.of("zone");
        YamlDocument f = p.section("fleet");
        workers = f.integer("workers", 1, 500);
        cellSize = f.integer("cell_size", 1, 500, 4);
        slotsPerCore = f.integer("slots_per_core", 1, 100, 3);
        queuePerCore = f.integer("queue_per_core", 0, 1000, 6);
        loadsAtOnce = f.integer("loads_at_once", 1, 100, 4);
        keep = micros(f.duration("keep_alive", Duration.ofSeconds(12)));
        fetchShare = f.number("fetch_share", 0, 1, 0.65);
        loadFails = f.number("load_fails", 0, 1, 0);
        eager = f.flag("eager", true);
        tellsLoad = f.flag("tells_load", true);
        YamlDocument k = f.section("kinds");
        for (String n : k.keys()) {
            YamlDocument one = k.section(n);
            kinds.add(new WorkerKind(n, one.number("share", 0, 1), one.integer("cores", 1, 256),
                one.number("speed", 0.01, 100),
                one.number("memory", 1, 1e9)));
            one.rejectUnknownKeys();
        }
        f.rejectUnknownKeys();
        YamlDocument s = p.optionalSection("store");
        storeTakes = s.number("takes", 0.1, 1e6, 8);
        storeDown = micros(s.duration("down", Duration.ofSeconds(3)));
        s.rejectUnknownKeys();
        YamlDocument l = p.optionalSection("list");
        listLag = micros(l.duration("lag", Duration.ofSeconds(1)));
        l.rejectUnknownKeys();
        YamlDocument r = p.section("routers");
        routers = r.integer("count", 1, 250);
        busiest = r.number("busiest", 0, 1, 1.0 / routers);
        ownProcesses = !r.has("processes") || r.choice("processes", List.of("own", "one")).equals("own");
        split = r.flag("split", false);
        if (split && !ownProcesses) { throw r.invalid("split", "needs routers in processes of their own"); }
        executions = r.integer("executions", 1, 64, 3);
        r.text("most_come_back", "1s");
        r.flag("second_executions", false);
        r.rejectUnknownKeys();
        YamlDocument o = p.section("load");
        rate = o.number("rate", 0.1, 100_000);
        zipf = o.number("zipf", 0, 5, 1.2);
        functions = o.integer("functions", 1, 5000, 30);
        manner = new EmulatedClients.RetryBehaviour(o.integer("retries", 0, 20, 2),
            o.number("least_wait", 0.01, 1, 0.6),
            micros(o.duration("backoff", Duration.ofMillis(80))), o.number("honour", 0, 1, 0.8));
        o.rejectUnknownKeys();
        YamlDocument w = p.section("workloads");
        for (String n : w.keys()) { workload(n, w.section(n)); }
        YamlDocument c = p.section("customers");
        for (String n : c.keys()) {
            YamlDocument one = c.section(n);
            one.number("rate", 0, 1e9);
            customers.put(n, one.number("share", 0, 1));
            one.rejectUnknownKeys();
        }
        YamlDocument x = p.optionalSection("workers");
        onMissLoads = x.text("miss", "answers").equals("loads");
        YamlDocument u = p.optionalSection("rules");
        grace = micros(u.duration("drain_grace", Duration.ofMillis(500)));
        coldShare = u.number("cold_share", 0, 1, 1);
        coldSpan = micros(u.duration("cold_span", Duration.ZERO));
        fallMultiple = u.number("fall_multiple", 0, 1e6, 3);
        fallSpan = micros(u.duration("fall_span", Duration.ofSeconds(1)));
        loadsFree = u.number("loads_free", 0, 1e6, 0);
        loadsShare = u.number("loads_share", 0, 1e6, 0);
        loadsSpan = micros(u.duration("loads_span", Duration.ZERO));
        for (YamlDocument t : p.sections("script")) { script.add(trouble(t)); }
        p.keys().stream().filter(
            n -> !List.of("day", "zones", "fleet", "store", "list", "routers", "load", "workloads",
                "customers", "workers", "rules", "prices", "holds", "links", "levels", "script").contains(
                    n)).findFirst().ifPresent(n -> {
                        throw p.invalid(n, "is no part of a day");
                    });
    }

    /** Reads a day; a mistake names file, line and key. */
    public static Scenario read(Path path) throws IOException {
        String text = Files.readString(path);
        YamlDocument page = YamlDocument.read(path.toString(), text);
        Map<String, Object> raw = new Yaml(new SafeConstructor(new LoaderOptions())).load(text);
        return new Scenario(path, page, raw);
    }

    private static long micros(Duration d) { return d.toNanos() / 1000; }

    private void workload(String n, YamlDocument w) {
        String repeat = w.choice("repeat", List.of("restartable", "fingerprinted", "run-once"));
        long target = micros(w.duration("start_target"));
        long limit = micros(w.duration("time_limit"));
        repeats.add(repeat);
        wishes.add(new EmulatedClients.RequestClassProfile(n, target, limit,
            w.number("importance", 0, 1e6, 1), w.number("late_share", 0, 1, 0),
            repeat.equals("restartable")
                || repeat.equals("fingerprinted") && w.text("group", "all").equals("all"),
            repeat.equals("fingerprinted")));
        likes.add(new FunctionCatalogue.FunctionGroup(n, w.number("share", 0, 1), w.number("memory", 1, 1e6),
            w.integer("lanes", 1, 1000),
            micros(w.duration("load")), micros(w.duration("work")), micros(w.duration("io", Duration.ZERO)),
            w.number("spread", 0, 2, 0.4),
            repeat.equals("fingerprinted") ? micros(w.duration("memory_span")) : 0));
        w.text("group", "all");
        w.has("memory_span");
        w.rejectUnknownKeys();
    }

    private static Fault trouble(YamlDocument t) {
        FaultType v = t.choice("trouble", FaultType.class, null);
        if (v == null) { t.text("trouble"); }
        Fault made = new Fault(micros(t.duration("at")), v, micros(t.duration("lasts", Duration.ZERO)),
            t.number("part", 0, 1, 0.2), t.number("size", 0, 1e6, 2), t.text("of", null));
        t.rejectUnknownKeys();
        return made;
    }

    public int zoneOf(int number) { return number % zones.size(); }

    WorkerKind kindOf(int worker) {
        double u = (worker * 0.618034) % 1;
        for (WorkerKind k : kinds) {
            if (u < k.share()) { return k; }
            u -= k.share();
        }
        return kinds.get(0);
    }

    EmulatedWorker.Hardware make(WorkerKind k) {
        return new EmulatedWorker.Hardware(k.cores(), k.speed(), slotsPerCore * k.cores(),
            queuePerCore * k.cores(), k.memory(),
            loadsAtOnce, keep, onMissLoads, eager, coldShare, coldSpan, fallMultiple, fallSpan, fetchShare,
            loadFails);
    }

    double[] routerShares() {
        double[] s = new double[routers];
        double left = routers == 1 ? 1 : 1 - busiest;
        double sum = 0;
        for (int i = 1; i < routers; i++) { sum += 1.0 / i; }
        s[0] = routers == 1 ? 1 : busiest;
        for (int i = 1; i < routers; i++) { s[i] = left / i / sum; }
        return s;
    }

    /** The loopback address from which a router asks its workers: it tells the logs who asked. */
    static String address(int router) {
        return "127.1." + (router / 250) + "." + (router % 250 + 1);
    }

    /** The router of an address, -1 where it is none. */
    static int router(String address) {
        String[] p = address.split("\\.");
        return p.length == 4 && p[1].equals("1") ? Integer.parseInt(p[2]) * 250 + Integer.parseInt(p[3]) - 1
            : -1;
    }

    /** The page of one router of this day. */
    public String routerPage(int number, int port, int listPort, FunctionCatalogue catalogue) {
        return routerPage(number, port, listPort, catalogue, Map.of());
    }

    /** The same with some values in place of the day's, by {@code part.key}. */
    @SuppressWarnings("unchecked") public String routerPage(int number, int port, int listPort,
        FunctionCatalogue catalogue, Map<String, String> instead) {
        Map<String, Object> page = new LinkedHashMap<>();
        Map<String, Object> r = (Map<String, Object>) raw.get("routers");
        Map<String, Object> router = new LinkedHashMap<>();
        router.put("number", number);
        router.put("of", routers);
        router.put("zone", zones.get(zoneOf(number)));
        router.put("tick", tick);
        router.put("executions", executions);
        router.put("most_come_back", r.getOrDefault("most_come_back", "1s"));
        router.put("second_executions", r.getOrDefault("second_executions", false));
        page.put("router", router);
        page.put("seed", seed + number);
        page.put("zones", zones);
        Map<String, Object> kindsOut = new LinkedHashMap<>();
        kinds.forEach(k -> kindsOut.put(k.name(), Map.of("memory", k.memory())));
        page.put("kinds", kindsOut);
        Map<String, Object> loads = new LinkedHashMap<>();
        ((Map<String, Object>) raw.get("workloads")).forEach((n, v) -> {
            Map<String, Object> w = new LinkedHashMap<>((Map<String, Object>) v);
            List.of("share", "memory", "lanes", "load", "work", "io", "spread").forEach(w::remove);
            loads.put(n, w);
        });
        page.put("workloads", loads);
        Map<String, Object> who = new LinkedHashMap<>();
        ((Map<String, Object>) raw.get("customers")).forEach(
            (n, v) -> who.put(n, Map.of("rate", ((Map<String, Object>) v).get("rate"))));
        page.put("customers", who);
        Map<String, Object> fs = new LinkedHashMap<>();
        catalogue.known().stream().sorted(java.util.Comparator.comparing(m -> m.name())).forEach(
            m -> fs.put(m.name(), function(m.workload(), m.memory(), m.lanes(), m.load())));
        for (int w = 0; w < likes.size(); w++) {
            FunctionCatalogue.FunctionGroup like = likes.get(w);
            for (String kind : List.of("hot-", "once-")) {
                fs.put(kind + like.workload() + "-*", function(w, like.memory(), like.lanes(), like.load()));
            }
        }
        page.put("functions", fs);
        for (String part : List.of("workers", "rules", "prices", "holds", "links", "levels")) {
            if (raw.containsKey(part)) {
                page.put(part, new LinkedHashMap<>((Map<String, Object>) raw.get(part)));
            }
        }
        if (page.get("rules") instanceof Map<?, ?> rules) { rules.remove("drain_grace"); } // the checker's; a router stops at once
        Map<String,
            Object> links = (Map<String, Object>) page.computeIfAbsent("links", x -> new LinkedHashMap<>());
        links.put("from", address(number));
        ((Map<String, Object>) page.computeIfAbsent("workers", x -> new LinkedHashMap<>())).put("keep_alive",
            keep / 1000 + "ms");
        page.put("listen", Map.of("port", port));
        page.put("list", Map.of("port", listPort));
        instead.forEach((k, v) -> {
            String[] at = k.split("\\.", 2);
            Map<String,
                Object> part = new LinkedHashMap<>((Map<String, Object>) page.getOrDefault(at[0], Map.of()));
            part.put(at[1], new Yaml(new SafeConstructor(new LoaderOptions())).load(v));
            page.put(at[0], part);
        });
        return new Yaml().dump(page);
    }

    private Map<String, Object> function(int workload, double memory, int lanes, long load) {
        Map<String, Object> f = new LinkedHashMap<>();
        f.put("workload", wishes.get(workload).workload());
        f.put("memory", Math.round(memory));
        f.put("lanes", lanes);
        f.put("load_time", load / 1000 + "ms");
        return f;
    }

    // ---- what the emulator asks

    public String name() { return name; }

    public int workers() { return workers; }

    public int routers() { return routers; }

    public int cellSize() { return cellSize; }

    public double storeTakes() { return storeTakes; }

    public long storeDown() { return storeDown; }

    public long listLag() { return listLag; }

    public boolean tellsLoad() { return tellsLoad; }

    public List<Fault> script() { return List.copyOf(script); }

    public Map<String, Double> customers() { return customers; }

    public String zone(int router) { return zones.get(zoneOf(router)); }

    public String kindName(int worker) { return kindOf(worker).name(); }

    public double sizeOf(int worker) { return kindOf(worker).cores() * kindOf(worker).speed(); }

    public EmulatedWorker.Hardware makeOf(int worker) { return make(kindOf(worker)); }

    public FunctionCatalogue catalogue(long with) {
        return new FunctionCatalogue(likes, functions, zipf, with);
    }

    public EmulatedClients clients(switchgap.emulator.Scheduler ticker,
        switchgap.emulator.ClientTransport way, FunctionCatalogue c, long with) {
        return new EmulatedClients(ticker, way, c, wishes.toArray(new EmulatedClients.RequestClassProfile[0]),
            manner, rate, routerShares(), customers, with);
    }

    /** Work a second that the fleet can do at most, in seconds of a core of speed 1, and the work of a mean job. */
    public double capacity() {
        double sum = 0;
        for (int i = 0; i < workers; i++) { sum += sizeOf(i); }
        return sum;
    }

    /** Seconds of work of a mean job. */
    public double meanWork() {
        return likes.stream().mapToDouble(l -> l.share() * l.work() / 1e6).sum();
    }

    public double rate() { return rate; }

    /** The longest time limit, microseconds. */
    public long longestLimit() {
        return wishes.stream().mapToLong(EmulatedClients.RequestClassProfile::limit).max().orElse(0);
    }

    public long seed() { return seed; }

    /** For each workload: its share of jobs, importance, and work over that of a mean job. */
    public List<double[]> kindsOfWork() {
        List<double[]> all = new ArrayList<>();
        for (int w = 0; w < likes.size(); w++) {
            all.add(new double[] {likes.get(w).share(), wishes.get(w).worth(),
                likes.get(w).work() / 1e6 / meanWork()});
        }
        return all;
    }

    /** Calls held at a router, at which a static cut-off turns the less important away: twice the routers' part of the slots. */
    public int staticHeld() {
        return Math.max(2, 2 * workers * slotsPerCore * 2 / routers / 3);
    }
}

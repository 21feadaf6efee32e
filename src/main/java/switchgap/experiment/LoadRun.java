package switchgap.experiment;

import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import switchgap.config.YamlDocument;
import switchgap.emulator.EmulatedClients;
import switchgap.emulator.EventRecorder;
import switchgap.emulator.FunctionCatalogue;
import switchgap.emulator.RealTimeScheduler;
import switchgap.emulator.Scheduler;
import switchgap.emulator.SocketClientTransport;
import switchgap.net.NetworkTransport;
import switchgap.scenario.Scenario;

/**
 * An open-loop load with a curve, against routers on sockets or the emulator: jobs come when they are due, whatever became
 * of those before, and times count from then, so that a stalled router or a sender that falls behind hides nothing.
 */
public final class LoadRun {
    private static final long LONGEST = 3_600_000_000L; // microseconds
    private static final long CLOSING = 2_000_000;
    private final String name;
    private final Scenario day;
    private final LoadCurve curve;
    private final long seed;
    private final Map<String, Histogram> took = new TreeMap<>();
    private final Map<String, Map<String, Long>> ends = new TreeMap<>();
    private final Histogram lag = new Histogram(LONGEST, 3);
    private ResultTable jobs;
    private long began;

    private LoadRun(Path file, double within) throws IOException {
        YamlDocument p = YamlDocument.read(file);
        YamlDocument l = p.section("load");
        name = l.text("name");
        day = Scenario.read(file.resolveSibling(l.text("day")).normalize());
        seed = (long) l.number("seed", 0, 1L << 50, day.seed());
        l.rejectUnknownKeys();
        curve = LoadCurve.read("curve", p.section("curve"), file).within(within);
        p.rejectUnknownKeys();
    }

    /** Plays a load file within a share of its time; with no routers named, against the emulator. Results go to the folder. */
    public static void run(Path file, double within, List<InetSocketAddress> routers, Path dir,
        PrintStream out)
        throws IOException, InterruptedException {
        LoadRun r = new LoadRun(file, within);
        if (!routers.isEmpty() && routers.size() != r.day.routers()) {
            throw new switchgap.config.InvalidConfigException(file.toString(), 1,
                "its day has " + r.day.routers() + " routers, "
                    + routers.size() + " were named");
        }
        LinkedHashMap<String, Class<?>> kinds = new LinkedHashMap<>();
        kinds.put("at_ms", Double.class);
        kinds.put("workload", String.class);
        kinds.put("customer", String.class);
        kinds.put("router", Long.class);
        kinds.put("took_ms", Double.class);
        kinds.put("tries", Long.class);
        kinds.put("end", String.class);
        kinds.put("earned", Double.class);
        try (ResultTable c = new ResultTable(Files.createDirectories(dir).resolve("jobs"), kinds)) {
            r.jobs = c;
            EmulatedClients clients = routers.isEmpty() ? r.emulated() : r.sockets(routers);
            r.seconds(clients, dir);
            r.print(clients, routers.isEmpty(), out);
        }
        for (var h : r.took.entrySet()) {
            try (PrintStream s = new PrintStream(Files.newOutputStream(dir.resolve(h.getKey() + ".hgrm")))) {
                h.getValue().outputPercentileDistribution(s, 1000.0);
            }
        }
    }

    private double full() { return day.capacity() / day.meanWork() / day.rate(); }

    private EmulatedClients emulated() {
        Emulator e = new Emulator(day, seed, Variant.LEVELS, t -> curve.at(t) * full());
        hear(e.clients, e.ticker);
        curve.bring(e.ticker, e.clients);
        e.play(curve.seconds(), s -> {});
        return e.clients;
    }

    private EmulatedClients sockets(List<InetSocketAddress> routers)
        throws IOException, InterruptedException {
        FunctionCatalogue catalogue = day.catalogue(day.seed()); // as the stand-ins of the day have it
        try (RealTimeScheduler ticker = new RealTimeScheduler();
            NetworkTransport net = new NetworkTransport(2, "load")) {
            SocketClientTransport way = new SocketClientTransport(ticker, net, EventRecorder.none(),
                routers.size());
            for (int i = 0; i < routers.size(); i++) { way.router(i, routers.get(i)); }
            EmulatedClients clients = day.clients(ticker, way, catalogue, seed + 1);
            clients.curve(t -> curve.at(t) * full());
            for (int i = 0; i < routers.size(); i++) { clients.zone(i, day.zone(i)); }
            long end = ticker.now() + curve.seconds() * 1_000_000;
            ticker.post(() -> {
                hear(clients, ticker);
                curve.bring(ticker, clients);
                clients.start(end);
            });
            while (ticker.now() < end) { Thread.sleep(50); }
            long most = end + day.longestLimit() * 2 + CLOSING;
            while (clients.open() > 0 && ticker.now() < most) { Thread.sleep(20); }
            return clients;
        }
    }

    private void hear(EmulatedClients clients, Scheduler ticker) {
        began = ticker.now();
        clients.onRequestEnded(result -> {
            ends.computeIfAbsent(result.requestClass(), name -> new TreeMap<>()).merge(result.end(), 1L,
                Long::sum);
            if (result.end().equals("finished")) {
                took.computeIfAbsent(result.requestClass(), name -> new Histogram(LONGEST, 3)).recordValue(
                    Math.min(LONGEST, Math.max(0, result.duration())));
            }
            try {
                jobs.row((result.arrivedAt() - began) / 1e3, result.requestClass(), result.tenant(),
                    result.router(),
                    result.duration() / 1e3, result.attempts(), result.end(), result.earned());
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        });
        clients.sent(late -> lag.recordValue(Math.min(LONGEST, late)));
    }

    private void seconds(EmulatedClients clients, Path dir) throws IOException {
        LinkedHashMap<String, Class<?>> kinds = new LinkedHashMap<>();
        kinds.put("second", Long.class);
        List.of("load", "asked", "earned").forEach(n -> kinds.put(n, Double.class));
        try (ResultTable c = new ResultTable(dir.resolve("seconds"), kinds)) {
            for (var s : clients.seconds().entrySet()) {
                c.row(s.getKey(), curve.at(s.getKey() * 1_000_000), s.getValue()[0], s.getValue()[1]);
            }
        }
    }

    private void print(EmulatedClients clients, boolean emulated, PrintStream out) {
        out.printf("%s: %d s%s, service %.3f, jobs sent late by p99 %.2f ms, most %.2f ms%n", name,
            curve.seconds(),
            emulated ? " of simulated time" : " on sockets", clients.service(),
            lag.getValueAtPercentile(99) / 1e3, lag.getMaxValue() / 1e3);
        out.printf("%-16s %8s %10s %10s %10s %10s  %s%n", "workload", "jobs", "in target", "p50 ms", "p99 ms",
            "most ms", "ends");
        for (var t : clients.tallies().entrySet()) {
            EmulatedClients.Tally v = t.getValue();
            Histogram h = took.getOrDefault(t.getKey(), new Histogram(3));
            out.printf("%-16s %8d %10.3f %10.1f %10.1f %10.1f  %s%n", t.getKey(), v.jobs,
                (v.finished - v.late) / (double) Math.max(1, v.jobs),
                h.getValueAtPercentile(50) / 1e3, h.getValueAtPercentile(99) / 1e3, h.getMaxValue() / 1e3,
                new ArrayList<>(ends.getOrDefault(t.getKey(), Map.of()).entrySet()));
        }
    }
}

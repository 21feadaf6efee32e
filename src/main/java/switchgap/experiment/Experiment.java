package switchgap.experiment;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.ToDoubleFunction;
import switchgap.admission.ServiceLevelChange;
import switchgap.config.YamlDocument;
import switchgap.scenario.Scenario;

/** Variants over days, curves and seeds, the same arrivals for each variant, on all cores. */
public final class Experiment {
    /** One day under one curve, and the trials of all variants and seeds. */
    record Case(Scenario day, LoadCurve curve, List<Trial> trials) {
        String name() { return day.name() + ", " + curve.name; }

        List<Trial> of(Variant v) { return trials.stream().filter(t -> t.variant == v).toList(); }

        /** Differences to the first variant, seed by seed. */
        Spread against(Variant v, Variant first, ToDoubleFunction<Trial> figure) {
            List<Trial> a = of(v);
            List<Trial> b = of(first);
            double[] d = new double[a.size()];
            for (int i = 0; i < d.length; i++) {
                d[i] = figure.applyAsDouble(a.get(i)) - figure.applyAsDouble(b.get(i));
            }
            return Spread.of(d);
        }

        Spread spread(Variant v, ToDoubleFunction<Trial> figure) {
            return Spread.of(of(v).stream().mapToDouble(figure).toArray());
        }
    }

    /** Mean and standard deviation over seeds. */
    record Spread(double mean, double deviation) {
        static Spread of(double[] x) {
            double mean = 0;
            for (double v : x) { mean += v / x.length; }
            double sum = 0;
            for (double v : x) { sum += (v - mean) * (v - mean); }
            return new Spread(mean, x.length < 2 ? 0 : Math.sqrt(sum / (x.length - 1)));
        }
    }

    final String name;
    final List<Case> cases = new ArrayList<>();
    final List<Variant> variants;
    final int seeds;

    private Experiment(Path file, boolean quick) throws IOException {
        YamlDocument p = YamlDocument.read(file);
        YamlDocument e = p.section("experiment");
        name = e.text("name");
        int n = e.integer("seeds", 1, 1000, 3);
        seeds = quick ? 1 : n;
        double share = e.number("quick", 0.01, 1, 0.4);
        e.rejectUnknownKeys();
        variants = Variant.read(p);
        List<LoadCurve> curves = new ArrayList<>();
        for (String c : p.section("curves").keys()) {
            LoadCurve whole = LoadCurve.read(c, p.section("curves").section(c), file);
            curves.add(quick ? whole.within(share) : whole);
        }
        for (String d : p.textList("days")) {
            Scenario day = Scenario.read(file.resolveSibling(d).normalize());
            curves.forEach(c -> cases.add(new Case(day, c, new ArrayList<>())));
        }
        if (cases.isEmpty()) { throw p.invalid("days", "needs a day and a curve or more"); }
        p.rejectUnknownKeys();
    }

    /** Runs it; prints a table and, where asked for, writes the report and the results as columns. */
    public static void run(Path file, boolean quick, Path report, Path results, PrintStream out)
        throws IOException, InterruptedException {
        Experiment x = new Experiment(file, quick);
        long began = System.nanoTime();
        x.play();
        out.printf("%s, %d seeds, %.0f s of this machine (simulated servers)%n", x.name, x.seeds,
            (System.nanoTime() - began) / 1e9);
        x.cases.forEach(c -> x.print(c, out));
        if (results != null) { x.columns(Files.createDirectories(results)); }
        if (report != null) {
            ExperimentReport.write(report, x);
            out.println("report: " + report);
        }
    }

    private void play() throws InterruptedException {
        ExecutorService cores = Executors.newFixedThreadPool(Runtime.getRuntime().availableProcessors());
        List<Future<Trial>> running = new ArrayList<>();
        List<Case> of = new ArrayList<>();
        for (Case c : cases) {
            for (Variant v : variants) {
                for (int s = 0; s < seeds; s++) {
                    long seed = c.day.seed() + 101L * s;
                    running.add(cores.submit(() -> new Trial(c.day, seed, v, c.curve)));
                    of.add(c);
                }
            }
        }
        try {
            for (int i = 0; i < running.size(); i++) { of.get(i).trials.add(running.get(i).get()); }
        } catch (ExecutionException e) {
            throw new IllegalStateException("a trial failed", e.getCause());
        } finally {
            cores.shutdownNow();
        }
    }

    private void print(Case c, PrintStream out) {
        out.printf("%n%s: %d s of simulated time, %d workers, %d routers, bound from capacity %.3f%n",
            c.name(), c.curve.seconds(),
            c.day.workers(), c.day.routers(), c.trials.get(0).bound);
        out.printf("%-10s %-14s %-15s %-40s %8s %7s %5s %5s %s%n", "variant", "service", "to the first",
            "start targets met",
            "changes", "4 stays", "back", "busy", "time at each level, changes of customers' own");
        for (Variant v : variants) {
            List<Trial> all = c.of(v);
            Spread service = c.spread(v, t -> t.service);
            Spread paired = c.against(v, variants.get(0), t -> t.service);
            StringBuilder met = new StringBuilder();
            all.get(0).inTarget.keySet().forEach(
                w -> met.append(String.format("%s %.3f  ", w, c.spread(v, t -> t.inTarget.get(w)).mean)));
            StringBuilder at = new StringBuilder();
            all.get(0).timeAt.forEach((r, s) -> {
                if (s > 0) { at.append(String.format("%s %.0f s ", YamlDocument.word(r), s)); }
            });
            all.forEach(t -> { if (!t.own.isEmpty()) { at.append(t.own).append(' '); } });
            out.printf("%-10s %.3f ±%.3f   %+.3f ±%.3f   %-40s %8.1f %7d %5d %5.2f %s%n", v.name(),
                service.mean, service.deviation,
                paired.mean, paired.deviation, met,
                c.spread(v, t -> t.changes / (double) c.day.routers()).mean,
                all.stream().mapToInt(t -> t.mostInFourStays).max().orElse(0),
                all.stream().mapToLong(t -> t.backAfter).max().orElse(-1),
                c.spread(v, t -> t.busy).mean, at);
        }
    }

    /** {@code trials} with one row a trial and workload or customer, {@code seconds} with one a second of a trial, {@code changes} of level. */
    private void columns(Path dir) throws IOException {
        LinkedHashMap<String, Class<?>> trials = key();
        trials.put("of", String.class);
        trials.put("name", String.class);
        trials.put("figure", String.class);
        trials.put("value", Double.class);
        LinkedHashMap<String, Class<?>> seconds = key();
        seconds.put("second", Long.class);
        List.of("load", "service", "level", "below_full").forEach(n -> seconds.put(n, Double.class));
        LinkedHashMap<String, Class<?>> changes = key();
        changes.put("router", Long.class);
        changes.put("at", Double.class);
        List.of("customer", "from", "to", "condition").forEach(n -> changes.put(n, String.class));
        changes.put("pressure", Double.class);
        changes.put("evidence", Double.class);
        try (ResultTable g = new ResultTable(dir.resolve("changes"), changes);
            ResultTable t = new ResultTable(dir.resolve("trials"), trials);
            ResultTable s = new ResultTable(dir.resolve("seconds"), seconds)) {
            for (Case c : cases) {
                for (Trial x : c.trials) {
                    t.row(c.name(), x.variant.name(), x.seed, "all", "", "service", x.service);
                    t.row(c.name(), x.variant.name(), x.seed, "all", "", "bound", x.bound);
                    t.row(c.name(), x.variant.name(), x.seed, "all", "", "changes", x.changes);
                    for (var e : x.inTarget.entrySet()) {
                        t.row(c.name(), x.variant.name(), x.seed, "workload", e.getKey(), "in target",
                            e.getValue());
                    }
                    for (var e : x.byCustomer.entrySet()) {
                        t.row(c.name(), x.variant.name(), x.seed, "customer", e.getKey(), "service",
                            e.getValue());
                    }
                    for (Emulator.RouterLevelChange n : x.changed) {
                        ServiceLevelChange h = n.change();
                        g.row(c.name(), x.variant.name(), x.seed, n.router(), h.at().toMillis() / 1e3,
                            h.tenant() < 0 ? "all"
                                : Trial.customer(c.day, h.tenant()),
                            YamlDocument.word(h.from()), YamlDocument.word(h.to()), h.condition(),
                            h.pressure(),
                            h.samples());
                    }
                    for (int i = 0; i < x.course.size(); i++) {
                        double[] v = x.course.get(i);
                        s.row(c.name(), x.variant.name(), x.seed, i, v[0], v[1], v[2], v[3]);
                    }
                }
            }
        }
    }

    private static LinkedHashMap<String, Class<?>> key() {
        LinkedHashMap<String, Class<?>> k = new LinkedHashMap<>();
        k.put("case", String.class);
        k.put("variant", String.class);
        k.put("seed", Long.class);
        return k;
    }
}

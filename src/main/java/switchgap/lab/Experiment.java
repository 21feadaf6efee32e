package switchgap.lab;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import switchgap.day.Day;
import switchgap.terms.Page;

/** Variants over a curve with several seeds, the same arrivals for each, on all cores. */
public final class Experiment {
    private final String name;
    private final Day day;
    private final Curve curve;
    private final int seeds;
    private final List<Emulator.Before> variants = new ArrayList<>();

    private Experiment(Path file, boolean quick) throws IOException {
        Page p = Page.read(file);
        Page e = p.part("experiment");
        name = e.text("name");
        day = Day.read(file.resolveSibling(e.text("day")).normalize());
        int n = e.whole("seeds", 1, 1000, 3);
        seeds = quick ? 1 : n;
        for (String v : e.texts("variants")) {
            switch (v) {
                case "off" -> variants.add(Emulator.Before.NOTHING);
                case "static" -> variants.add(Emulator.Before.STATIC);
                case "levels" -> variants.add(Emulator.Before.LEVELS);
                default -> throw e.wrong("variants", "'" + v + "' must be one of off, static, levels");
            }
        }
        double share = quick ? e.number("quick", 0.01, 1, 0.4) : 1;
        e.has("quick");
        e.done();
        curve = new Curve(p, "curve").within(share);
        p.done();
    }

    /** Runs it; prints a table and, where asked for, writes the report. */
    public static void run(Path file, boolean quick, Path report, PrintStream out) throws IOException, InterruptedException {
        Experiment x = new Experiment(file, quick);
        ExecutorService cores = Executors.newFixedThreadPool(Runtime.getRuntime().availableProcessors());
        List<Future<Trial>> running = new ArrayList<>();
        for (Emulator.Before v : x.variants) {
            for (int s = 0; s < x.seeds; s++) {
                long seed = x.day.seed() + 101L * s;
                running.add(cores.submit(() -> new Trial(x.day, seed, v, x.curve)));
            }
        }
        List<Trial> all = new ArrayList<>();
        try {
            for (Future<Trial> f : running) { all.add(f.get()); }
        } catch (ExecutionException e) {
            throw new IllegalStateException("a trial failed", e.getCause());
        } finally {
            cores.shutdownNow();
        }
        out.printf("%s, %d s of simulated time, %d workers, %d routers, %d seeds (simulated servers)%n", x.name,
            x.curve.seconds(), x.day.workers(), x.day.routers(), x.seeds);
        out.printf("%-8s %-28s %6s  %-40s %8s %8s %6s %5s %s%n", "variant", "service (each seed)", "bound", "start targets met",
            "changes", "most", "back", "busy", "time at each level");
        for (Emulator.Before v : x.variants) {
            List<Trial> of = all.stream().filter(t -> t.variant == v).toList();
            StringBuilder each = new StringBuilder();
            of.forEach(t -> each.append(String.format(" %.3f", t.service)));
            Trial first = of.get(0);
            StringBuilder met = new StringBuilder();
            first.inTarget.keySet().forEach(w -> met.append(String.format("%s %.3f  ", w,
                of.stream().mapToDouble(t -> t.inTarget.get(w)).average().orElse(0))));
            StringBuilder at = new StringBuilder();
            first.timeAt.forEach((r, s) -> { if (s > 0) { at.append(String.format("%s %.0f s ", Page.word(r), s)); } });
            out.printf("%-8s %.3f%-22s %6.3f  %-40s %8.1f %8.0f %6d %5.2f %s%n", word(v), of.stream().mapToDouble(t -> t.service)
                .average().orElse(0), each, first.bound, met, of.stream().mapToDouble(t -> t.changes / (double)
                x.day.routers()).average().orElse(0), of.stream().mapToDouble(t -> t.mostChangesAtOneRouter).max().orElse(0),
                of.stream().mapToLong(t -> t.backAfter).max().orElse(-1),
                of.stream().mapToDouble(t -> t.busy).average().orElse(0), at);
        }
        if (report != null) { Report.write(report, x.name, x.day, x.curve, all, out); }
    }

    static String word(Emulator.Before v) {
        return switch (v) {
            case NOTHING -> "off";
            case STATIC -> "static";
            case LEVELS -> "levels";
        };
    }
}

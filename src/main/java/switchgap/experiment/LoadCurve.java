package switchgap.experiment;

import java.io.IOException;
import java.io.Reader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVRecord;
import switchgap.config.InvalidConfigException;
import switchgap.config.YamlDocument;
import switchgap.emulator.EmulatedClients;
import switchgap.emulator.Scheduler;

/**
 * A load over time: straight lines between points of time (microseconds) and load (share of capacity), with waves and
 * bursts on top, and spells in which one customer brings more or hammers.
 */
final class LoadCurve {
    private static final int MOST_POINTS = 100_000;

    /** From {@code at} for {@code lasts} microseconds a customer's rate (all load where {@code of} is null) times {@code times}. */
    private record Spell(long at, long lasts, String of, double times, int hammers) {}

    final String name;
    private final List<double[]> points = new ArrayList<>();
    private final List<Spell> spells = new ArrayList<>();
    private double every = 1;
    private double by;

    private LoadCurve(String name) { this.name = name; }

    /** Reads {@code {points: [{at: SPAN, load: SHARE}] or csv: FILE, waves: {every, by}, bursts, customers}}; files beside the page. */
    static LoadCurve read(String name, YamlDocument p, Path beside) throws IOException {
        LoadCurve c = new LoadCurve(name);
        if (p.has("csv")) { c.csv(beside.resolveSibling(p.text("csv"))); }
        for (YamlDocument q : p.sections("points")) {
            double at = micros(q, "at");
            if (!c.points.isEmpty() && at < c.points.get(c.points.size() - 1)[0]) {
                throw q.invalid("at", "must not go back in time");
            }
            c.points.add(new double[] {at, q.number("load", 0, 100)});
            q.rejectUnknownKeys();
        }
        if (c.points.size() < 2) { throw p.invalid("points", "needs two points or more, or a csv file"); }
        if (p.has("waves")) {
            YamlDocument w = p.section("waves");
            c.every = Math.max(1000, micros(w, "every"));
            c.by = w.number("by", 0, 100);
            w.rejectUnknownKeys();
        }
        for (YamlDocument b : p.sections("bursts")) {
            c.spells.add(new Spell(micros(b, "at"), micros(b, "lasts"), null, b.number("times", 0, 100), 0));
            b.rejectUnknownKeys();
        }
        for (YamlDocument b : p.sections("customers")) {
            c.spells.add(
                new Spell(micros(b, "at"), micros(b, "lasts"), b.text("of"), b.number("times", 0, 1000, 1),
                    b.integer("hammers", 0, 100, 0)));
            b.rejectUnknownKeys();
        }
        p.rejectUnknownKeys();
        return c;
    }

    /** A load that stays the same. */
    static LoadCurve flat(double load, long seconds) {
        LoadCurve c = new LoadCurve("flat " + load);
        c.points.add(new double[] {0, load});
        c.points.add(new double[] {seconds * 1e6, load});
        return c;
    }

    private static long micros(YamlDocument p, String key) { return p.duration(key).toNanos() / 1000; }

    /** Lines of seconds and load under a head that names them. */
    private void csv(Path file) throws IOException {
        try (Reader r = Files.newBufferedReader(file)) {
            for (CSVRecord l : CSVFormat.DEFAULT.builder().setHeader().setSkipHeaderRecord(true).setTrim(
                true).get().parse(r)) {
                int line = (int) l.getRecordNumber() + 1;
                double at = number(file, line, l, "seconds") * 1e6;
                double load = number(file, line, l, "load");
                if (load < 0 || load > 100) {
                    throw new InvalidConfigException(file.toString(), line,
                        "load: " + load + " must lie from 0 to 100");
                }
                if (!points.isEmpty() && at < points.get(points.size() - 1)[0]) {
                    throw new InvalidConfigException(file.toString(), line,
                        "seconds: must not go back in time");
                }
                if (points.size() == MOST_POINTS) {
                    throw new InvalidConfigException(file.toString(), line,
                        "more than " + MOST_POINTS + " points");
                }
                points.add(new double[] {at, load});
            }
        }
    }

    private static double number(Path file, int line, CSVRecord l, String column) {
        if (!l.isMapped(column)) {
            throw new InvalidConfigException(file.toString(), 1, "has no column " + column);
        }
        try {
            double v = Double.parseDouble(l.get(column));
            if (Double.isFinite(v)) { return v; }
        } catch (IllegalArgumentException e) {
            throw new InvalidConfigException(file.toString(), line,
                column + ": " + (l.isSet(column) ? "'" + l.get(column) + "' is no number" : "absent"));
        }
        throw new InvalidConfigException(file.toString(), line, column + ": must be a number");
    }

    /** The same curve over a share of the time. */
    LoadCurve within(double share) {
        LoadCurve c = new LoadCurve(name);
        points.forEach(p -> c.points.add(new double[] {p[0] * share, p[1]}));
        spells.forEach(s -> c.spells.add(
            new Spell((long) (s.at * share), (long) (s.lasts * share), s.of, s.times, s.hammers)));
        c.every = every;
        c.by = by;
        return c;
    }

    long seconds() { return (long) (points.get(points.size() - 1)[0] / 1e6); }

    /** The load at a time, without what spells add. */
    double at(long micros) {
        double wave = by == 0 ? 0 : by * Math.sin(2 * Math.PI * micros / every);
        return Math.max(0, line(micros) + wave);
    }

    private double line(long micros) {
        int low = 0; // the first point at or past the time: asked for each job, and there may be many points
        int high = points.size();
        while (low < high) {
            int middle = (low + high) >>> 1;
            if (points.get(middle)[0] >= micros) {
                high = middle;
            } else {
                low = middle + 1;
            }
        }
        if (low == points.size()) { return points.get(low - 1)[1]; }
        double[] p = points.get(low);
        double[] before = points.get(Math.max(0, low - 1));
        double span = p[0] - before[0];
        return span <= 0 ? p[1] : before[1] + (p[1] - before[1]) * (micros - before[0]) / span;
    }

    /** Sets the spells at the clients. */
    void bring(Scheduler ticker, EmulatedClients clients) {
        for (Spell s : spells) {
            ticker.after(s.at, () -> set(clients, s, s.times, s.hammers));
            ticker.after(s.at + s.lasts, () -> set(clients, s, 1, 0));
        }
    }

    private static void set(EmulatedClients clients, Spell s, double times, int hammers) {
        if (s.of == null) {
            clients.burst(times);
            return;
        }
        clients.burst(s.of, times);
        clients.hammer(s.of, hammers);
    }
}

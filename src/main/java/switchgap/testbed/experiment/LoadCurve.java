package switchgap.testbed.experiment;

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
import switchgap.testbed.emulator.EmulatedClients;
import switchgap.testbed.emulator.Scheduler;

/**
 * A load over time: straight lines between points of time (microseconds) and load (share of
 * capacity), with waves and bursts on top, and spells in which one tenant sends more or retries
 * without backoff.
 */
final class LoadCurve {
  private static final int MAX_POINTS = 100_000;
  private static final double MICROS_PER_SECOND = 1e6;

  /** Load from a time on, microseconds, up to the next point. */
  private record Point(double at, double load) {}

  /**
   * For a time, a tenant's rate (all load where it is null) times a factor, with so many retries
   * without backoff.
   */
  private record Spell(long at, long durationMicros, String tenant, double factor, int retries) {}

  final String name;
  private final List<Point> points = new ArrayList<>();
  private final List<Spell> spells = new ArrayList<>();
  private double wavePeriodMicros = 1;
  private double waveAmplitude;

  private LoadCurve(String name) {
    this.name = name;
  }

  /**
   * Reads {@code {points: [{at: SPAN, load: SHARE}] or csv: FILE, waves: {every, by}, bursts,
   * customers}}; files lie beside the document.
   */
  static LoadCurve read(String name, YamlDocument document, Path beside) throws IOException {
    LoadCurve curve = new LoadCurve(name);
    if (document.has("csv")) {
      curve.readCsv(beside.resolveSibling(document.text("csv")));
    }
    for (YamlDocument point : document.sections("points")) {
      double at = micros(point, "at");
      if (!curve.points.isEmpty() && at < curve.points.get(curve.points.size() - 1).at) {
        throw point.invalid("at", "must not go back in time");
      }
      curve.points.add(new Point(at, point.number("load", 0, 100)));
      point.rejectUnknownKeys();
    }
    if (curve.points.size() < 2) {
      throw document.invalid("points", "needs two points or more, or a csv file");
    }
    if (document.has("waves")) {
      YamlDocument wave = document.section("waves");
      curve.wavePeriodMicros = Math.max(1000, micros(wave, "every"));
      curve.waveAmplitude = wave.number("by", 0, 100);
      wave.rejectUnknownKeys();
    }
    for (YamlDocument burst : document.sections("bursts")) {
      curve.spells.add(
          new Spell(
              micros(burst, "at"), micros(burst, "lasts"), null, burst.number("times", 0, 100), 0));
      burst.rejectUnknownKeys();
    }
    for (YamlDocument burst : document.sections("customers")) {
      curve.spells.add(
          new Spell(
              micros(burst, "at"),
              micros(burst, "lasts"),
              burst.text("of"),
              burst.number("times", 0, 1000, 1),
              burst.integer("hammers", 0, 100, 0)));
      burst.rejectUnknownKeys();
    }
    document.rejectUnknownKeys();
    return curve;
  }

  /** A load that stays the same. */
  static LoadCurve flat(double load, long seconds) {
    LoadCurve curve = new LoadCurve("flat " + load);
    curve.points.add(new Point(0, load));
    curve.points.add(new Point(seconds * MICROS_PER_SECOND, load));
    return curve;
  }

  private static long micros(YamlDocument document, String key) {
    return document.duration(key).toNanos() / 1000;
  }

  /** Lines of seconds and load under a head that names them. */
  private void readCsv(Path file) throws IOException {
    try (Reader reader = Files.newBufferedReader(file)) {
      for (CSVRecord row :
          CSVFormat.DEFAULT
              .builder()
              .setHeader()
              .setSkipHeaderRecord(true)
              .setTrim(true)
              .get()
              .parse(reader)) {
        int line = (int) row.getRecordNumber() + 1;
        double at = number(file, line, row, "seconds") * MICROS_PER_SECOND;
        double load = number(file, line, row, "load");
        if (load < 0 || load > 100) {
          throw new InvalidConfigException(
              file.toString(), line, "load: " + load + " must lie from 0 to 100");
        }
        if (!points.isEmpty() && at < points.get(points.size() - 1).at) {
          throw new InvalidConfigException(
              file.toString(), line, "seconds: must not go back in time");
        }
        if (points.size() == MAX_POINTS) {
          throw new InvalidConfigException(
              file.toString(), line, "more than " + MAX_POINTS + " points");
        }
        points.add(new Point(at, load));
      }
    }
  }

  private static double number(Path file, int line, CSVRecord row, String column) {
    if (!row.isMapped(column)) {
      throw new InvalidConfigException(file.toString(), 1, "has no column " + column);
    }
    try {
      double value = Double.parseDouble(row.get(column));
      if (Double.isFinite(value)) {
        return value;
      }
    } catch (IllegalArgumentException e) {
      throw new InvalidConfigException(
          file.toString(),
          line,
          column
              + ": "
              + (row.isSet(column) ? "'" + row.get(column) + "' is no number" : "absent"));
    }
    throw new InvalidConfigException(file.toString(), line, column + ": must be a number");
  }

  /** The same curve over a share of the time. */
  LoadCurve within(double share) {
    LoadCurve curve = new LoadCurve(name);
    points.forEach(point -> curve.points.add(new Point(point.at * share, point.load)));
    spells.forEach(
        spell ->
            curve.spells.add(
                new Spell(
                    (long) (spell.at * share),
                    (long) (spell.durationMicros * share),
                    spell.tenant,
                    spell.factor,
                    spell.retries)));
    curve.wavePeriodMicros = wavePeriodMicros;
    curve.waveAmplitude = waveAmplitude;
    return curve;
  }

  long seconds() {
    return (long) (points.get(points.size() - 1).at / MICROS_PER_SECOND);
  }

  /** The load at a time, without what spells add. */
  double at(long micros) {
    double wave =
        waveAmplitude == 0 ? 0 : waveAmplitude * Math.sin(2 * Math.PI * micros / wavePeriodMicros);
    return Math.max(0, interpolate(micros) + wave);
  }

  private double interpolate(long micros) {
    int low =
        0; // the first point at or past the time: asked for each job, and there may be many points
    int high = points.size();
    while (low < high) {
      int middle = (low + high) >>> 1;
      if (points.get(middle).at >= micros) {
        high = middle;
      } else {
        low = middle + 1;
      }
    }
    if (low == points.size()) {
      return points.get(low - 1).load;
    }
    Point next = points.get(low);
    Point before = points.get(Math.max(0, low - 1));
    double distance = next.at - before.at;
    return distance <= 0
        ? next.load
        : before.load + (next.load - before.load) * (micros - before.at) / distance;
  }

  /** Sets the spells at the clients. */
  void schedule(Scheduler scheduler, EmulatedClients clients) {
    for (Spell spell : spells) {
      scheduler.after(spell.at, () -> set(clients, spell, spell.factor, spell.retries));
      scheduler.after(spell.at + spell.durationMicros, () -> set(clients, spell, 1, 0));
    }
  }

  private static void set(EmulatedClients clients, Spell spell, double factor, int retries) {
    if (spell.tenant == null) {
      clients.setRateFactor(factor);
      return;
    }
    clients.setRateFactor(spell.tenant, factor);
    clients.setRetryStorm(spell.tenant, retries);
  }
}

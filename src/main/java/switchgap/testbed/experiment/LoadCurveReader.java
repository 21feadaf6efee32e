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

/** Reads load curves from the documents of experiments and loads. */
final class LoadCurveReader {
  private static final int MAX_POINTS = 100_000;
  private static final double MAX_LOAD = 100;
  private static final long MIN_WAVE_PERIOD_MICROS = 1000;
  private static final double MICROS_PER_SECOND = 1e6;
  private static final long NANOS_PER_MICRO = 1000;

  private final List<LoadCurve.Point> points = new ArrayList<>();

  private LoadCurveReader() {}

  /**
   * Reads {@code {points: [{at: SPAN, load: SHARE}] or csv: FILE, waves: {every, by}, bursts,
   * customers}}; files lie beside the document.
   *
   * @throws InvalidConfigException for a mistake, with file, line and key
   */
  static LoadCurve read(String name, YamlDocument document, Path beside) throws IOException {
    LoadCurveReader reader = new LoadCurveReader();
    if (document.has("csv")) {
      reader.readCsv(beside.resolveSibling(document.text("csv")));
    }
    reader.readPoints(document);
    LoadCurve.Wave wave = wave(document);
    LoadCurve curve = new LoadCurve(name, reader.points, wave, periods(document));
    document.rejectUnknownKeys();
    return curve;
  }

  private void readPoints(YamlDocument document) {
    for (YamlDocument point : document.sections("points")) {
      double time = micros(point, "at");
      if (isBeforeLast(time)) {
        throw point.invalid("at", "must not go back in time");
      }
      points.add(new LoadCurve.Point(time, point.number("load", 0, MAX_LOAD)));
      point.rejectUnknownKeys();
    }
    if (points.size() < 2) {
      throw document.invalid("points", "needs two points or more, or a csv file");
    }
  }

  private boolean isBeforeLast(double timeMicros) {
    return !points.isEmpty() && timeMicros < points.get(points.size() - 1).timeMicros();
  }

  private static LoadCurve.Wave wave(YamlDocument document) {
    if (!document.has("waves")) {
      return LoadCurve.Wave.NONE;
    }
    YamlDocument section = document.section("waves");
    double period = Math.max(MIN_WAVE_PERIOD_MICROS, micros(section, "every"));
    LoadCurve.Wave wave = new LoadCurve.Wave(period, section.number("by", 0, MAX_LOAD));
    section.rejectUnknownKeys();
    return wave;
  }

  private static List<LoadCurve.TrafficPeriod> periods(YamlDocument document) {
    List<LoadCurve.TrafficPeriod> periods = new ArrayList<>();
    for (YamlDocument burst : document.sections("bursts")) {
      periods.add(
          new LoadCurve.TrafficPeriod(
              micros(burst, "at"), micros(burst, "lasts"), null, burst.number("times", 0, 100), 0));
      burst.rejectUnknownKeys();
    }
    for (YamlDocument burst : document.sections("customers")) {
      periods.add(
          new LoadCurve.TrafficPeriod(
              micros(burst, "at"),
              micros(burst, "lasts"),
              burst.text("of"),
              burst.number("times", 0, 1000, 1),
              burst.integer("hammers", 0, 100, 0)));
      burst.rejectUnknownKeys();
    }
    return periods;
  }

  private static long micros(YamlDocument document, String key) {
    return document.duration(key).toNanos() / NANOS_PER_MICRO;
  }

  /** Reads rows of seconds and load under a header that names them. */
  private void readCsv(Path file) throws IOException {
    CSVFormat format =
        CSVFormat.DEFAULT.builder().setHeader().setSkipHeaderRecord(true).setTrim(true).get();
    try (Reader reader = Files.newBufferedReader(file)) {
      for (CSVRecord row : format.parse(reader)) {
        readRow(file, row);
      }
    }
  }

  private void readRow(Path file, CSVRecord row) {
    int line = (int) row.getRecordNumber() + 1;
    double time = number(file, line, row, "seconds") * MICROS_PER_SECOND;
    double load = number(file, line, row, "load");
    if (load < 0 || load > MAX_LOAD) {
      throw invalid(file, line, "load: " + load + " must lie from 0 to 100");
    }
    if (isBeforeLast(time)) {
      throw invalid(file, line, "seconds: must not go back in time");
    }
    if (points.size() == MAX_POINTS) {
      throw invalid(file, line, "more than " + MAX_POINTS + " points");
    }
    points.add(new LoadCurve.Point(time, load));
  }

  private static double number(Path file, int line, CSVRecord row, String column) {
    if (!row.isMapped(column)) {
      throw invalid(file, 1, "has no column " + column);
    }
    if (!row.isSet(column)) {
      throw invalid(file, line, column + ": absent");
    }
    double value = parse(file, line, row, column);
    if (!Double.isFinite(value)) {
      throw invalid(file, line, column + ": must be a number");
    }
    return value;
  }

  private static double parse(Path file, int line, CSVRecord row, String column) {
    try {
      return Double.parseDouble(row.get(column));
    } catch (NumberFormatException e) {
      throw invalid(file, line, column + ": '" + row.get(column) + "' is no number");
    }
  }

  private static InvalidConfigException invalid(Path file, int line, String message) {
    return new InvalidConfigException(file.toString(), line, message);
  }
}

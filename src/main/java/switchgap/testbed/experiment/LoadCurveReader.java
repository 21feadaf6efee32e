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

/** Reads load curves from experiment and load documents (YAML) and from CSV files. */
final class LoadCurveReader {
  private static final int MAX_POINTS = 100_000;
  private static final double MAX_LOAD = 100;
  private static final long MIN_WAVE_PERIOD_MICROS = 1000;
  private static final double MICROS_PER_SECOND = 1e6;
  private static final long NANOS_PER_MICRO = 1000;

  private final List<LoadCurve.Point> points = new ArrayList<>();

  private LoadCurveReader() {}

  /**
   * Reads a curve of the form {@code {csv: FILE, points: [{at: SPAN, load: SHARE}], waves: {every,
   * by}, bursts, customers}}. The points of the CSV file, if there is one, precede those of the
   * list; the file's path is relative to the document's directory.
   *
   * @throws InvalidConfigException if the curve is invalid, with file, line and key
   */
  static LoadCurve read(String name, YamlDocument document, Path documentFile) throws IOException {
    LoadCurveReader reader = new LoadCurveReader();
    if (document.has("csv")) {
      reader.readCsv(documentFile.resolveSibling(document.text("csv")));
    }
    reader.readPoints(document);
    LoadCurve.Wave wave = readWave(document);
    LoadCurve curve = new LoadCurve(name, reader.points, wave, readPeriods(document));
    document.rejectUnknownKeys();
    return curve;
  }

  private void readPoints(YamlDocument document) {
    for (YamlDocument point : document.sections("points")) {
      double timeMicros = durationMicros(point, "at");
      if (isBeforeLastPoint(timeMicros)) {
        throw point.invalid("at", "must not be earlier than the previous point");
      }
      points.add(new LoadCurve.Point(timeMicros, point.number("load", 0, MAX_LOAD)));
      point.rejectUnknownKeys();
    }
    if (points.size() < 2) {
      throw document.invalid("points", "needs at least two points, here or in a csv file");
    }
  }

  private boolean isBeforeLastPoint(double timeMicros) {
    return !points.isEmpty() && timeMicros < points.get(points.size() - 1).timeMicros();
  }

  private static LoadCurve.Wave readWave(YamlDocument document) {
    if (!document.has("waves")) {
      return LoadCurve.Wave.NONE;
    }
    YamlDocument section = document.section("waves");
    double periodMicros = Math.max(MIN_WAVE_PERIOD_MICROS, durationMicros(section, "every"));
    LoadCurve.Wave wave = new LoadCurve.Wave(periodMicros, section.number("by", 0, MAX_LOAD));
    section.rejectUnknownKeys();
    return wave;
  }

  private static List<LoadCurve.TrafficPeriod> readPeriods(YamlDocument document) {
    List<LoadCurve.TrafficPeriod> periods = new ArrayList<>();
    for (YamlDocument burst : document.sections("bursts")) {
      periods.add(
          new LoadCurve.TrafficPeriod(
              durationMicros(burst, "at"),
              durationMicros(burst, "lasts"),
              null,
              burst.number("times", 0, 100),
              0));
      burst.rejectUnknownKeys();
    }
    for (YamlDocument burst : document.sections("customers")) {
      periods.add(
          new LoadCurve.TrafficPeriod(
              durationMicros(burst, "at"),
              durationMicros(burst, "lasts"),
              burst.text("of"),
              burst.number("times", 0, 1000, 1),
              burst.integer("hammers", 0, 100, 0)));
      burst.rejectUnknownKeys();
    }
    return periods;
  }

  private static long durationMicros(YamlDocument document, String key) {
    return document.duration(key).toNanos() / NANOS_PER_MICRO;
  }

  /** Reads a CSV file whose header has the columns {@code seconds} and {@code load}. */
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
    double timeMicros = requireFiniteNumber(file, line, row, "seconds") * MICROS_PER_SECOND;
    double load = requireFiniteNumber(file, line, row, "load");
    if (load < 0 || load > MAX_LOAD) {
      throw invalid(file, line, "load: " + load + " must be between 0 and 100");
    }
    if (isBeforeLastPoint(timeMicros)) {
      throw invalid(file, line, "seconds: must not be earlier than the previous point");
    }
    if (points.size() == MAX_POINTS) {
      throw invalid(file, line, "the curve has more than " + MAX_POINTS + " points");
    }
    points.add(new LoadCurve.Point(timeMicros, load));
  }

  private static double requireFiniteNumber(Path file, int line, CSVRecord row, String column) {
    if (!row.isMapped(column)) {
      throw invalid(file, 1, "missing column " + column);
    }
    if (!row.isSet(column)) {
      throw invalid(file, line, column + ": value is missing");
    }
    double value = parseNumber(file, line, row, column);
    if (!Double.isFinite(value)) {
      throw invalid(file, line, column + ": must be a finite number");
    }
    return value;
  }

  private static double parseNumber(Path file, int line, CSVRecord row, String column) {
    try {
      return Double.parseDouble(row.get(column));
    } catch (NumberFormatException e) {
      throw invalid(file, line, column + ": '" + row.get(column) + "' is not a number");
    }
  }

  private static InvalidConfigException invalid(Path file, int line, String message) {
    return new InvalidConfigException(file.toString(), line, message);
  }
}

package switchgap.testbed.experiment;

import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import switchgap.testbed.emulator.ClientOutcome;
import switchgap.testbed.emulator.EmulatedClients;
import switchgap.testbed.emulator.RequestResult;
import switchgap.testbed.emulator.RequestTally;
import switchgap.testbed.emulator.Scheduler;

/**
 * Records the results of a load: a table with a row per completed request, latencies and outcomes
 * by request class, and the delay with which requests were sent. The callbacks run on the clients'
 * thread; the results may be read after the load has ended. The column names and values are part of
 * the file format; they are independent of the names in the code.
 */
final class LoadRecorder implements AutoCloseable {
  private static final long MAX_LATENCY_MICROS = 3_600_000_000L;
  private static final int SIGNIFICANT_DIGITS = 3;
  private static final long MICROS_PER_SECOND = 1_000_000;
  private static final double MICROS_PER_MILLI = 1000;

  private static final List<ResultColumn> REQUEST_COLUMNS =
      List.of(
          ResultColumn.real("at_ms"),
          ResultColumn.text("workload"),
          ResultColumn.text("customer"),
          ResultColumn.integer("router"),
          ResultColumn.real("took_ms"),
          ResultColumn.integer("tries"),
          ResultColumn.text("end"),
          ResultColumn.real("earned"));
  private static final List<ResultColumn> SECOND_COLUMNS =
      List.of(
          ResultColumn.integer("second"),
          ResultColumn.real("load"),
          ResultColumn.real("asked"),
          ResultColumn.real("earned"));

  private final Path directory;
  private final ResultTable requestTable;
  private final Map<String, Histogram> latencyMicrosByClass = new TreeMap<>();
  private final Map<String, Map<String, Long>> outcomeCountsByClass = new TreeMap<>();
  private final Histogram sendDelayMicros = new Histogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);
  private long startMicros;

  /** Creates the directory if it doesn't exist, and starts the table of requests in it. */
  LoadRecorder(Path directory) throws IOException {
    this.directory = Files.createDirectories(directory);
    this.requestTable = new ResultTable(directory.resolve("jobs"), REQUEST_COLUMNS);
  }

  /** Starts to record the requests of these clients; must run on the clients' thread. */
  void observe(EmulatedClients clients, Scheduler scheduler) {
    startMicros = scheduler.now();
    clients.onRequestEnded(this::requestEnded);
    clients.onRequestSent(
        delayMicros -> sendDelayMicros.recordValue(Math.min(MAX_LATENCY_MICROS, delayMicros)));
  }

  private void requestEnded(RequestResult result) {
    String outcomeWord = result.lastAttempt().word();
    outcomeCountsByClass
        .computeIfAbsent(result.requestClass(), name -> new TreeMap<>())
        .merge(outcomeWord, 1L, Long::sum);
    if (result.lastAttempt().outcome() == ClientOutcome.SUCCEEDED) {
      long latencyMicros = Math.min(MAX_LATENCY_MICROS, Math.max(0, result.duration()));
      latencyMicrosByClass
          .computeIfAbsent(
              result.requestClass(), name -> new Histogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS))
          .recordValue(latencyMicros);
    }
    try {
      requestTable.addRow(
          (result.arrivedAt() - startMicros) / MICROS_PER_MILLI,
          result.requestClass(),
          result.tenant(),
          result.router(),
          result.duration() / MICROS_PER_MILLI,
          result.attempts(),
          outcomeWord,
          result.earned());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Writes a table of the curve's load and the requested and earned weight in each second. */
  void writeSeconds(EmulatedClients clients, LoadCurve curve) throws IOException {
    try (ResultTable table = new ResultTable(directory.resolve("seconds"), SECOND_COLUMNS)) {
      for (var entry : clients.weightsBySecond().entrySet()) {
        table.addRow(
            entry.getKey(),
            curve.loadAt(entry.getKey() * MICROS_PER_SECOND),
            entry.getValue().requested(),
            entry.getValue().earned());
      }
    }
  }

  /** Writes a file with the latency percentiles in milliseconds for each request class. */
  void writeLatencies() throws IOException {
    for (var entry : latencyMicrosByClass.entrySet()) {
      Path file = directory.resolve(entry.getKey() + ".hgrm");
      try (PrintStream output = new PrintStream(Files.newOutputStream(file))) {
        entry.getValue().outputPercentileDistribution(output, MICROS_PER_MILLI);
      }
    }
  }

  void printSendDelay(PrintStream out) {
    out.printf(
        "send delay p99 %.2f ms, max %.2f ms%n",
        sendDelayMicros.getValueAtPercentile(99) / MICROS_PER_MILLI,
        sendDelayMicros.getMaxValue() / MICROS_PER_MILLI);
  }

  /** Prints a table with one row per request class. */
  void printRequestClasses(EmulatedClients clients, PrintStream out) {
    out.printf(
        "%-16s %8s %10s %10s %10s %10s  %s%n",
        "workload", "jobs", "in target", "p50 ms", "p99 ms", "max ms", "ends");
    clients.tallies().forEach((requestClass, tally) -> printRow(requestClass, tally, out));
  }

  private void printRow(String requestClass, RequestTally tally, PrintStream out) {
    Histogram latencyMicros =
        latencyMicrosByClass.getOrDefault(requestClass, new Histogram(SIGNIFICANT_DIGITS));
    out.printf(
        "%-16s %8d %10.3f %10.1f %10.1f %10.1f  %s%n",
        requestClass,
        tally.requests(),
        tally.objectiveMetShare(),
        latencyMicros.getValueAtPercentile(50) / MICROS_PER_MILLI,
        latencyMicros.getValueAtPercentile(99) / MICROS_PER_MILLI,
        latencyMicros.getMaxValue() / MICROS_PER_MILLI,
        new ArrayList<>(outcomeCountsByClass.getOrDefault(requestClass, Map.of()).entrySet()));
  }

  @Override
  public void close() throws IOException {
    requestTable.close();
  }
}

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
 * Records what became of a load's requests: a table of requests as they end, latencies and outcomes
 * by request class, and how late requests were sent. Notified on the clients' thread; read after
 * they have ended. Column names and words are those that readers of the files know.
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
  private final ResultTable requests;
  private final Map<String, Histogram> latencies = new TreeMap<>();
  private final Map<String, Map<String, Long>> outcomes = new TreeMap<>();
  private final Histogram sendDelay = new Histogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);
  private long startedAt;

  /** Writes to a directory, which is created where it is absent. */
  LoadRecorder(Path directory) throws IOException {
    this.directory = Files.createDirectories(directory);
    this.requests = new ResultTable(directory.resolve("jobs"), REQUEST_COLUMNS);
  }

  /** Records what these clients do from now on. */
  void observe(EmulatedClients clients, Scheduler scheduler) {
    startedAt = scheduler.now();
    clients.onRequestEnded(this::requestEnded);
    clients.onRequestSent(delay -> sendDelay.recordValue(Math.min(MAX_LATENCY_MICROS, delay)));
  }

  private void requestEnded(RequestResult result) {
    String outcome = result.lastAttempt().word();
    outcomes
        .computeIfAbsent(result.requestClass(), name -> new TreeMap<>())
        .merge(outcome, 1L, Long::sum);
    if (result.lastAttempt().outcome() == ClientOutcome.SUCCEEDED) {
      long latency = Math.min(MAX_LATENCY_MICROS, Math.max(0, result.duration()));
      latencies
          .computeIfAbsent(
              result.requestClass(), name -> new Histogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS))
          .recordValue(latency);
    }
    try {
      requests.row(
          (result.arrivedAt() - startedAt) / MICROS_PER_MILLI,
          result.requestClass(),
          result.tenant(),
          result.router(),
          result.duration() / MICROS_PER_MILLI,
          result.attempts(),
          outcome,
          result.earned());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Writes the weights requested and earned in each second beside the curve's load. */
  void writeSeconds(EmulatedClients clients, LoadCurve curve) throws IOException {
    try (ResultTable table = new ResultTable(directory.resolve("seconds"), SECOND_COLUMNS)) {
      for (var entry : clients.weightsBySecond().entrySet()) {
        table.row(
            entry.getKey(),
            curve.loadAt(entry.getKey() * MICROS_PER_SECOND),
            entry.getValue().requested(),
            entry.getValue().earned());
      }
    }
  }

  /** Writes the latency distribution of each request class. */
  void writeLatencies() throws IOException {
    for (var entry : latencies.entrySet()) {
      Path file = directory.resolve(entry.getKey() + ".hgrm");
      try (PrintStream output = new PrintStream(Files.newOutputStream(file))) {
        entry.getValue().outputPercentileDistribution(output, MICROS_PER_MILLI);
      }
    }
  }

  void printSendDelay(PrintStream out) {
    out.printf(
        "jobs sent late by p99 %.2f ms, most %.2f ms%n",
        sendDelay.getValueAtPercentile(99) / MICROS_PER_MILLI,
        sendDelay.getMaxValue() / MICROS_PER_MILLI);
  }

  /** Prints a row for each request class. */
  void printRequestClasses(EmulatedClients clients, PrintStream out) {
    out.printf(
        "%-16s %8s %10s %10s %10s %10s  %s%n",
        "workload", "jobs", "in target", "p50 ms", "p99 ms", "most ms", "ends");
    clients.tallies().forEach((requestClass, tally) -> printRow(requestClass, tally, out));
  }

  private void printRow(String requestClass, RequestTally tally, PrintStream out) {
    Histogram latency = latencies.getOrDefault(requestClass, new Histogram(SIGNIFICANT_DIGITS));
    out.printf(
        "%-16s %8d %10.3f %10.1f %10.1f %10.1f  %s%n",
        requestClass,
        tally.requests(),
        tally.objectiveMetShare(),
        latency.getValueAtPercentile(50) / MICROS_PER_MILLI,
        latency.getValueAtPercentile(99) / MICROS_PER_MILLI,
        latency.getMaxValue() / MICROS_PER_MILLI,
        new ArrayList<>(outcomes.getOrDefault(requestClass, Map.of()).entrySet()));
  }

  @Override
  public void close() throws IOException {
    requests.close();
  }
}

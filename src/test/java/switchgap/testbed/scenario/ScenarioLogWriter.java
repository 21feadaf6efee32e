package switchgap.testbed.scenario;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Writes the logs of a synthetic scenario run with one router and one worker. Times are in
 * milliseconds since the start of the run.
 */
final class ScenarioLogWriter {
  /** Index of the idempotent request class. */
  static final int IDEMPOTENT = 0;

  /** Index of the non-idempotent request class. */
  static final int NON_IDEMPOTENT = 1;

  private static final String SCENARIO_DOCUMENT =
      """
      day: {length: 5s, seed: 1, slack: 10ms}
      fleet: {workers: 1, kinds: {k: {share: 1, cores: 1, speed: 1, memory: 100}}}
      routers: {count: 1}
      load: {rate: 1}
      workloads:
        again: {share: 0.5, start_target: 400ms, time_limit: 1s, repeat: restartable,
          memory: 1, lanes: 1, load: 1s, work: 100ms}
        once: {share: 0.5, start_target: 400ms, time_limit: 1s, repeat: run-once,
          memory: 1, lanes: 1, load: 1s, work: 100ms}
      customers: {a: {rate: 1, share: 1}}
      rules: {drain_grace: 500ms, cold_share: 0.2, cold_span: 10s, fall_multiple: 2,
        fall_span: 1s, loads_free: 1, loads_share: 0.5, loads_span: 5s}
      """;

  private static final long MICROS_PER_MILLI = 1000;
  private static final long TIMEOUT_MILLIS = 1000;
  private static final long END_MILLIS = 9000;

  private final List<String> clients = new ArrayList<>();
  private final List<String> fleet = new ArrayList<>();
  private final List<String> list = new ArrayList<>();
  private final List<String> script = new ArrayList<>();

  private static String logLine(long atMillis, String event, String otherMembers) {
    String separator = otherMembers.isEmpty() ? "" : ",";
    return "{\"t\":%d,\"what\":\"%s\"%s%s}"
        .formatted(atMillis * MICROS_PER_MILLI, event, separator, otherMembers);
  }

  /**
   * Adds the sending of an attempt to the clients' log.
   *
   * @param attempt id of the attempt: the id of its request, a dot and a number
   */
  ScenarioLogWriter attemptSent(long atMillis, String attempt, int requestClass) {
    String request = attempt.split("\\.")[0];
    long deadline = (atMillis + TIMEOUT_MILLIS) * MICROS_PER_MILLI;
    String fields =
        "\"call\":\"%s\",\"job\":\"%s\",\"router\":0,\"workload\":%d,\"limit\":%d"
            .formatted(attempt, request, requestClass, deadline);
    clients.add(logLine(atMillis, "call", fields));
    return this;
  }

  ScenarioLogWriter attemptEnded(long atMillis, String attempt, String outcome) {
    clients.add(logLine(atMillis, "answer", outcomeFields(attempt, outcome)));
    return this;
  }

  ScenarioLogWriter lateResponse(long atMillis, String attempt, String outcome) {
    clients.add(logLine(atMillis, "late-answer", outcomeFields(attempt, outcome)));
    return this;
  }

  private static String outcomeFields(String attempt, String outcome) {
    return "\"call\":\"%s\",\"end\":\"%s\"".formatted(attempt, outcome);
  }

  /** Adds a request that the worker receives but does not start to execute. */
  ScenarioLogWriter executionReceived(long atMillis, String attempt, String execution) {
    String fields =
        "\"worker\":\"w0\",\"router\":0,\"run\":\"%s\",\"call\":\"%s\",\"work\":100000"
            .formatted(execution, attempt);
    fleet.add(logLine(atMillis, "infer", fields));
    return this;
  }

  /** Adds a request that the worker receives and starts to execute. */
  ScenarioLogWriter executionStarted(long atMillis, String attempt, String execution) {
    executionReceived(atMillis, attempt, execution);
    String fields =
        "\"worker\":\"w0\",\"run\":\"%s\",\"call\":\"%s\"".formatted(execution, attempt);
    fleet.add(logLine(atMillis, "ran", fields));
    return this;
  }

  ScenarioLogWriter executionEnded(long atMillis, String execution) {
    String fields = "\"worker\":\"w0\",\"run\":\"%s\",\"status\":200".formatted(execution);
    fleet.add(logLine(atMillis, "answer", fields));
    return this;
  }

  /** Adds an attempt that is executed once, for 100 ms of work, and succeeds. */
  ScenarioLogWriter successfulAttempt(long atMillis, String attempt, int requestClass) {
    String execution = attempt + ".0";
    return attemptSent(atMillis, attempt, requestClass)
        .executionStarted(atMillis + 1, attempt, execution)
        .executionEnded(atMillis + 100, execution)
        .attemptEnded(atMillis + 101, attempt, "finished");
  }

  ScenarioLogWriter coldWorkerStarted(long atMillis) {
    String fields = "\"worker\":\"w0\",\"cold\":true,\"cores\":1,\"speed\":1.0";
    fleet.add(logLine(atMillis, "started", fields));
    return this;
  }

  ScenarioLogWriter replicaLoaded(long atMillis) {
    String fields = "\"worker\":\"w0\",\"router\":0,\"function\":\"f\",\"copies\":1";
    fleet.add(logLine(atMillis, "load", fields));
    return this;
  }

  ScenarioLogWriter routerNotifiedOfDraining(long atMillis) {
    list.add(logLine(atMillis, "told", "\"router\":0,\"worker\":\"w0\",\"state\":\"draining\""));
    return this;
  }

  ScenarioLogWriter routerKilled(long atMillis) {
    script.add(logLine(atMillis, "router-killed", "\"router\":0"));
    return this;
  }

  /** Writes the scenario document and all logs to a directory. */
  void writeTo(Path directory) throws IOException {
    Files.writeString(directory.resolve("day.yaml"), SCENARIO_DOCUMENT);
    write(directory.resolve("clients.jsonl"), clients);
    write(directory.resolve("fleet.jsonl"), fleet);
    write(directory.resolve("list.jsonl"), list);
    write(directory.resolve("script.jsonl"), script);
  }

  private static void write(Path log, List<String> lines) throws IOException {
    List<String> withEnd = new ArrayList<>(lines);
    withEnd.add(logLine(END_MILLIS, "end", ""));
    Files.write(log, withEnd);
  }
}

package switchgap.testbed.scenario;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import switchgap.testbed.emulator.ClientOutcome;

/**
 * What passed on the sockets of clients and workers while a scenario was played, joined from its
 * logs. What a router reports of itself is no evidence and is not read.
 */
final class ScenarioLog {
  private static final List<String> FAULTS_WITHOUT_RESPONSE = List.of("lost", "late", "half");

  /** A response seen by a client after its deadline and the slack. */
  record LateResponse(String call, long lateBy, int line) {}

  private final Scenario scenario;
  private final RouterOutages outages;
  private final List<LogLine> fleetLines;
  private final List<LogLine> listLines;
  private final Map<String, ObservedAttempt> attempts = new LinkedHashMap<>();
  private final Map<String, ObservedExecution> executions = new HashMap<>();
  private final List<List<Long>> sendTimesByRouter = new ArrayList<>();
  private final Map<String, Integer> endCounts = new TreeMap<>();
  private final List<LateResponse> lateResponses = new ArrayList<>();
  private int responsesWithinSlack;
  private int executionCount;
  private int startedCount;
  private int droppedRepeats;

  private ScenarioLog(Path directory) throws IOException {
    scenario = Scenario.read(directory.resolve(EventLog.SCENARIO));
    for (int i = 0; i < scenario.routers(); i++) {
      sendTimesByRouter.add(new ArrayList<>());
    }
    List<LogLine> script = EventLog.read(directory.resolve(EventLog.SCRIPT));
    List<LogLine> clients = EventLog.read(directory.resolve(EventLog.CLIENTS));
    fleetLines = EventLog.read(directory.resolve(EventLog.FLEET));
    listLines = EventLog.read(directory.resolve(EventLog.LIST));
    outages = new RouterOutages(scenario.routers(), slack(), script);
    clients.forEach(this::readClientLine);
    readFleet();
  }

  /**
   * Reads the directory of a played scenario.
   *
   * @throws IOException when a log is missing, cut off or unreadable
   */
  static ScenarioLog read(Path directory) throws IOException {
    return new ScenarioLog(directory);
  }

  ScenarioSettings settings() {
    return scenario.settings();
  }

  /** Tolerance for the clocks and threads of one machine, microseconds. */
  long slack() {
    return settings().timing().slack();
  }

  RouterOutages outages() {
    return outages;
  }

  List<LogLine> fleetLines() {
    return fleetLines;
  }

  List<LogLine> listLines() {
    return listLines;
  }

  /** In order of sending. */
  Collection<ObservedAttempt> attempts() {
    return attempts.values();
  }

  List<LateResponse> lateResponses() {
    return lateResponses;
  }

  /** Times at which clients sent attempts to a router, in order. */
  List<Long> sendTimes(int router) {
    return sendTimesByRouter.get(router);
  }

  /** Number of attempts by the word of how they ended. */
  Map<String, Integer> endCounts() {
    return endCounts;
  }

  int responsesWithinSlack() {
    return responsesWithinSlack;
  }

  int executionCount() {
    return executionCount;
  }

  int startedCount() {
    return startedCount;
  }

  int droppedRepeats() {
    return droppedRepeats;
  }

  private void readClientLine(LogLine line) {
    switch (line.kind()) {
      case "call" -> {
        ObservedAttempt attempt = new ObservedAttempt(line);
        attempts.put(attempt.call, attempt);
        sendTimesByRouter.get(attempt.router).add(attempt.sentAt);
      }
      case "answer" -> readAnswer(line);
      case "late-answer" -> readLateAnswer(line);
      default -> { // the end of the log
      }
    }
  }

  private void readAnswer(LogLine line) {
    String end = line.text("end");
    endCounts.merge(end, 1, Integer::sum);
    ObservedAttempt attempt = attempts.get(line.text("call"));
    if (attempt != null) {
      attempt.end = end;
      attempt.answeredAt = line.at();
      attempt.answeredLine = line.number();
      if (ClientOutcome.of(end).isFinal()) {
        attempt.finalResponses++;
      }
    }
  }

  private void readLateAnswer(LogLine line) {
    ObservedAttempt attempt = attempts.get(line.text("call"));
    if (attempt == null) {
      return;
    }
    attempt.finalResponses++;
    long lateBy = line.at() - attempt.deadline;
    if (lateBy <= slack()) {
      responsesWithinSlack++;
      attempt.end = line.text("end");
    } else {
      lateResponses.add(new LateResponse(attempt.call, lateBy, line.number()));
    }
  }

  private void readFleet() {
    Map<String, List<ObservedExecution>> executionsByWorker = new HashMap<>();
    for (LogLine line : fleetLines) {
      switch (line.kind()) {
        case "infer" -> {
          ObservedExecution execution = arrived(line);
          executionsByWorker
              .computeIfAbsent(execution.worker, worker -> new ArrayList<>())
              .add(execution);
        }
        case "ran" -> started(line);
        case "repeat-dropped" -> droppedRepeats++;
        case "ended" -> { // the process died: its connections were cut, so what it ran is over
          List<ObservedExecution> cut = executionsByWorker.remove(line.text("worker"));
          if (cut != null) {
            cut.forEach(execution -> execution.endedBy(line.at()));
          }
        }
        case "answer", "left" -> answered(line);
        default -> { // loads, probes and the like
        }
      }
    }
  }

  private ObservedExecution arrived(LogLine line) {
    ObservedExecution execution = new ObservedExecution(line);
    executions.put(line.text("run"), execution);
    executionCount++;
    ObservedAttempt attempt = attempts.get(line.text("call"));
    if (attempt != null) {
      attempt.executions.add(execution);
    }
    return execution;
  }

  private void started(LogLine line) {
    startedCount++;
    ObservedExecution execution = executions.get(line.text("run"));
    if (execution != null) {
      execution.started = true;
    }
  }

  private void answered(LogLine line) {
    ObservedExecution execution = executions.get(line.text("run"));
    if (execution != null && !FAULTS_WITHOUT_RESPONSE.contains(line.text("fault"))) {
      execution.endedBy(line.at());
    }
  }
}

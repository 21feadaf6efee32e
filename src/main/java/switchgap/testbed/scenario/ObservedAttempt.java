package switchgap.testbed.scenario;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import switchgap.testbed.emulator.ClientOutcome;

/**
 * A client's attempt, from the logs of clients and workers. Times are in microseconds; line numbers
 * refer to the clients' log.
 */
final class ObservedAttempt {
  private static final long NOT_ENDED = -1;

  private final String id;
  private final String requestId;
  private final int router;
  private final int requestClass;
  private final long sentAt;
  private final long deadline;
  private final int sentLineNumber;
  private final List<ObservedExecution> executions = new ArrayList<>(1);
  private String outcomeWord;
  private long endedAt = NOT_ENDED;
  private int endLineNumber;
  private int finalResponseCount;

  /** Creates an attempt from the line of the clients' log that records its sending. */
  ObservedAttempt(LogLine line) {
    id = line.attemptId();
    requestId = line.requestId();
    router = line.router();
    requestClass = line.integer("workload");
    sentAt = line.time();
    deadline = line.requiredLong("limit");
    sentLineNumber = line.lineNumber();
  }

  /** Records the outcome from the line of the clients' log that states it. */
  void recordEnd(LogLine line) {
    outcomeWord = line.outcomeWord();
    endedAt = line.time();
    endLineNumber = line.lineNumber();
    if (ClientOutcome.of(outcomeWord).isFinal()) {
      finalResponseCount++;
    }
  }

  /** Counts a final response that arrived after the client had recorded an outcome. */
  void countLateResponse() {
    finalResponseCount++;
  }

  /** Replaces the outcome by that of a response within the slack, which is treated as in time. */
  void acceptLateResponse(LogLine line) {
    outcomeWord = line.outcomeWord();
  }

  /** Adds an execution; executions are added in the order in which workers received them. */
  void addExecution(ObservedExecution execution) {
    executions.add(execution);
  }

  String id() {
    return id;
  }

  String requestId() {
    return requestId;
  }

  int router() {
    return router;
  }

  /** Index of the request class. */
  int requestClass() {
    return requestClass;
  }

  long sentAt() {
    return sentAt;
  }

  long deadline() {
    return deadline;
  }

  int sentLineNumber() {
    return sentLineNumber;
  }

  /** Executions in the order in which workers received them. */
  List<ObservedExecution> executions() {
    return Collections.unmodifiableList(executions);
  }

  /** Name of the outcome in the logs, null if the clients' log states none. */
  String outcomeWord() {
    return outcomeWord;
  }

  boolean endedAs(ClientOutcome outcome) {
    return outcome.word().equals(outcomeWord);
  }

  /** Time at which the client recorded an outcome, -1 if it recorded none. */
  long endedAt() {
    return endedAt;
  }

  int endLineNumber() {
    return endLineNumber;
  }

  int finalResponseCount() {
    return finalResponseCount;
  }

  /** Whether any worker started to execute it. */
  boolean wasExecuted() {
    return executions.stream().anyMatch(ObservedExecution::isStarted);
  }
}

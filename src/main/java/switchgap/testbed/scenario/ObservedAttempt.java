package switchgap.testbed.scenario;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import switchgap.testbed.emulator.ClientOutcome;

/**
 * A client's attempt as the logs of clients and workers show it. Times are in microseconds, lines
 * are numbers of lines of the clients' log.
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

  /** The attempt that a line of the clients' log begins. */
  ObservedAttempt(LogLine line) {
    id = line.attemptId();
    requestId = line.requestId();
    router = line.router();
    requestClass = line.integer("workload");
    sentAt = line.time();
    deadline = line.requiredLong("limit");
    sentLineNumber = line.lineNumber();
  }

  /** The client records how it ended. */
  void recordEnd(LogLine line) {
    outcomeWord = line.outcomeWord();
    endedAt = line.time();
    endLineNumber = line.lineNumber();
    if (ClientOutcome.of(outcomeWord).isFinal()) {
      finalResponseCount++;
    }
  }

  /** A response arrived after its client had recorded an end. */
  void countLateResponse() {
    finalResponseCount++;
  }

  /** A late response counts as in time: the attempt ended as the response states. */
  void acceptLateResponse(LogLine line) {
    outcomeWord = line.outcomeWord();
  }

  /** A worker received a request for it. */
  void addExecution(ObservedExecution execution) {
    executions.add(execution);
  }

  /** The id of the attempt, as messages name it. */
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

  /** Executions at workers, in order of arrival. */
  List<ObservedExecution> executions() {
    return Collections.unmodifiableList(executions);
  }

  /** The log's word for how it ended, null where it did not. */
  String outcomeWord() {
    return outcomeWord;
  }

  boolean endedAs(ClientOutcome outcome) {
    return outcome.word().equals(outcomeWord);
  }

  /** When its client recorded an end, -1 where it did not. */
  long endedAt() {
    return endedAt;
  }

  int endLineNumber() {
    return endLineNumber;
  }

  int finalResponseCount() {
    return finalResponseCount;
  }

  /** Whether a worker began to execute it. */
  boolean wasExecuted() {
    return executions.stream().anyMatch(ObservedExecution::isStarted);
  }
}

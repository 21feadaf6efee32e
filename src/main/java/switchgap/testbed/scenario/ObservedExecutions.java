package switchgap.testbed.scenario;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The executions at all workers, joined from the lines of the workers' log and assigned to the
 * clients' attempts.
 */
final class ObservedExecutions {
  /** Faults after which the router does not learn of the end of an execution. */
  private static final List<String> FAULTS_WITHOUT_RESPONSE = List.of("lost", "late", "half");

  private final ObservedAttempts attempts;
  private final Map<String, ObservedExecution> executions = new HashMap<>();
  private final Map<String, List<ObservedExecution>> executionsByWorker = new HashMap<>();
  private int receivedCount;
  private int startedCount;
  private int droppedRepeatCount;

  /** Reads the workers' log and adds the executions to the attempts. */
  ObservedExecutions(ObservedAttempts attempts, List<LogLine> fleetLines) {
    this.attempts = attempts;
    fleetLines.forEach(this::read);
  }

  private void read(LogLine line) {
    switch (line.event()) {
      case REQUEST_RECEIVED -> readReceipt(line);
      case EXECUTION_STARTED -> readStart(line);
      case REPEAT_DROPPED -> droppedRepeatCount++;
      case WORKER_ENDED -> readWorkerEnd(line);
      case ENDED, CONNECTION_CLOSED -> readEnd(line);
      default -> { // loads, probes and the like
      }
    }
  }

  private void readReceipt(LogLine line) {
    ObservedExecution execution = new ObservedExecution(line);
    executions.put(line.executionId(), execution);
    receivedCount++;
    ObservedAttempt attempt = attempts.find(line);
    if (attempt != null) {
      attempt.addExecution(execution);
    }
    executionsByWorker
        .computeIfAbsent(execution.worker(), worker -> new ArrayList<>())
        .add(execution);
  }

  private void readStart(LogLine line) {
    startedCount++;
    ObservedExecution execution = executions.get(line.executionId());
    if (execution != null) {
      execution.markStarted();
    }
  }

  /** A worker's process died: its connections were cut, so all its executions have ended. */
  private void readWorkerEnd(LogLine line) {
    List<ObservedExecution> executionsOfWorker = executionsByWorker.remove(line.worker());
    if (executionsOfWorker != null) {
      executionsOfWorker.forEach(execution -> execution.markEndedBy(line.time()));
    }
  }

  private void readEnd(LogLine line) {
    ObservedExecution execution = executions.get(line.executionId());
    if (execution != null && !FAULTS_WITHOUT_RESPONSE.contains(line.text("fault"))) {
      execution.markEndedBy(line.time());
    }
  }

  /** Number of requests that workers received. */
  int receivedCount() {
    return receivedCount;
  }

  /** Number of executions that workers started. */
  int startedCount() {
    return startedCount;
  }

  /** Number of repeats that workers recognized by their idempotency key. */
  int droppedRepeatCount() {
    return droppedRepeatCount;
  }
}

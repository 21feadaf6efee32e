package switchgap.testbed.scenario;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The executions at all workers. Joins the lines of the workers' log by execution and adds each
 * execution to the client's attempt that it belongs to.
 */
final class ObservedExecutions {
  /**
   * Faults with which the router receives no complete response, so that it cannot know that the
   * execution has ended.
   */
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
      default -> { // Other events belong to no execution.
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

  /** The end of a worker's process closes its connections and ends all its executions. */
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

  /** Number of requests that workers started to execute. */
  int startedCount() {
    return startedCount;
  }

  /** Number of requests that workers recognized as repeats by their idempotency key. */
  int droppedRepeatCount() {
    return droppedRepeatCount;
  }
}

package switchgap.testbed.scenario;

import java.util.ArrayList;
import java.util.List;
import switchgap.testbed.emulator.ClientOutcome;

/** A client's attempt as its log and the workers' log show it. Times in microseconds. */
final class ObservedAttempt {
  final String call;
  final String requestId;
  final int router;
  final int requestClass;
  final long sentAt;
  final long deadline;
  final int sentLine;

  /** Executions at workers, in order of arrival. */
  final List<ObservedExecution> executions = new ArrayList<>(1);

  /** Word of how it ended, null where it did not. */
  String end;

  long answeredAt = -1;
  int answeredLine;
  int finalResponses;

  ObservedAttempt(LogLine line) {
    call = line.text("call");
    requestId = line.text("job");
    router = line.integer("router");
    requestClass = line.integer("workload");
    sentAt = line.at();
    deadline = line.requiredLong("limit");
    sentLine = line.number();
  }

  boolean endedAs(ClientOutcome outcome) {
    return outcome.word().equals(end);
  }

  boolean hasRun() {
    return executions.stream().anyMatch(execution -> execution.started);
  }
}

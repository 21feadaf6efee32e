package switchgap.testbed.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import switchgap.testbed.invariant.Invariant;
import switchgap.testbed.invariant.Violation;
import switchgap.testbed.invariant.ViolationRecorder;

/** Checks the invariants of a finished run by the observations of the emulators. */
final class SoakChecker {
  private final SoakRecords records;
  private final ViolationRecorder violations = new ViolationRecorder();
  private final List<RequestCheck> requestChecks;
  private final List<AttemptCheck> attemptChecks;
  private final DrainGraceCheck drainGrace;
  private final DuplicateExecutionCheck duplicateExecutions;
  private final WarmUpLoadCheck warmUpLoad;

  private SoakChecker(SoakRecords records) {
    this.records = records;
    requestChecks =
        List.of(new ResponseIntegrityCheck(violations), new LostRequestCheck(records, violations));
    drainGrace = new DrainGraceCheck(records, violations);
    attemptChecks =
        List.of(
            new CancelledRequestCheck(violations),
            new DeadlinePropagationCheck(records, violations),
            drainGrace);
    duplicateExecutions = new DuplicateExecutionCheck(violations);
    warmUpLoad = new WarmUpLoadCheck(records, violations);
  }

  /**
   * Checks a run.
   *
   * @param records records of a run whose clients, workers and routers have stopped
   * @return all violations, grouped by check: requests, attempts, duplicate executions, load
   *     commands, workers, processes
   */
  static List<Violation> check(SoakRecords records) {
    return new SoakChecker(records).check();
  }

  private List<Violation> check() {
    Map<String, ObservedRequest> requests = new HashMap<>();
    for (ObservedRequest request : records.requests()) {
      requests.putIfAbsent(request.id(), request);
      requestChecks.forEach(check -> check.check(request));
    }
    checkAttempts(requests);
    records.loads().forEach(drainGrace::check);
    records.workers().forEach(warmUpLoad::check);
    records.processFaults().forEach(fault -> violations.record(Invariant.PROCESS_HEALTH, fault));
    return violations.violations();
  }

  private void checkAttempts(Map<String, ObservedRequest> requests) {
    Map<String, List<ReceivedAttempt>> attemptsByRequest = new HashMap<>();
    for (ReceivedAttempt attempt : records.attempts()) {
      ObservedRequest request = requests.get(attempt.requestId());
      if (request == null) {
        // The attempt is part of a request flood, whose requests are not recorded.
        continue;
      }
      attemptsByRequest.computeIfAbsent(request.id(), id -> new ArrayList<>()).add(attempt);
      attemptChecks.forEach(check -> check.check(attempt, request));
    }
    attemptsByRequest.forEach(
        (id, attempts) -> duplicateExecutions.check(requests.get(id), attempts));
  }
}

package switchgap.testbed.scenario;

import java.util.List;
import switchgap.testbed.invariant.Invariant;
import switchgap.testbed.invariant.Violation;
import switchgap.testbed.invariant.ViolationRecorder;

/** Checks the log of a scenario against one invariant and counts what it read. */
abstract class InvariantCheck {
  /** Times of logs are in microseconds, those of messages in milliseconds. */
  static final long MICROS_PER_MILLI = 1000;

  /** The log that the check reads. */
  final ScenarioLog log;

  private final Invariant invariant;
  private final ViolationRecorder violations = new ViolationRecorder();

  InvariantCheck(Invariant invariant, ScenarioLog log) {
    this.invariant = invariant;
    this.log = log;
  }

  /** Reads the log and records violations; called once. */
  abstract void check();

  /** The figures for the row of this invariant in the report; valid after the check. */
  abstract String summary();

  final Invariant invariant() {
    return invariant;
  }

  /** In the order in which they were found. */
  final List<Violation> violations() {
    return violations.violations();
  }

  final void recordViolation(String description) {
    violations.record(invariant, description);
  }

  /** The place of a line of the workers' log, as messages name it. */
  static String fleetLine(int number) {
    return EventLog.FLEET + ":" + number;
  }

  /** The place of a line of the clients' log, as messages name it. */
  static String clientLine(int number) {
    return EventLog.CLIENTS + ":" + number;
  }
}

package switchgap.testbed.scenario;

import java.util.List;
import switchgap.testbed.invariant.Invariant;
import switchgap.testbed.invariant.Violation;
import switchgap.testbed.invariant.ViolationRecorder;

/** Checks the logs of a scenario run against one invariant and collects figures for the report. */
abstract class InvariantCheck {
  /** Converts times of the logs, in microseconds, to times of messages, in milliseconds. */
  static final long MICROS_PER_MILLI = 1000;

  /** Logs of the scenario run. */
  final ScenarioLog log;

  private final Invariant invariant;
  private final ViolationRecorder violations = new ViolationRecorder();

  InvariantCheck(Invariant invariant, ScenarioLog log) {
    this.invariant = invariant;
    this.log = log;
  }

  /** Reads the logs and records violations; called once, before all other methods. */
  abstract void check();

  /** Figures for the row of this invariant in the report; valid after {@link #check()}. */
  abstract String summary();

  final Invariant invariant() {
    return invariant;
  }

  /** Violations in the order in which they were found. */
  final List<Violation> violations() {
    return violations.violations();
  }

  final void recordViolation(String description) {
    violations.record(invariant, description);
  }

  /** Location of a line of the workers' log, for messages. */
  static String fleetLine(int lineNumber) {
    return EventLog.FLEET + ":" + lineNumber;
  }

  /** Location of a line of the clients' log, for messages. */
  static String clientLine(int lineNumber) {
    return EventLog.CLIENTS + ":" + lineNumber;
  }
}

package switchgap.testbed.scenario;

import java.util.ArrayList;
import java.util.List;

/** Checks one invariant against a scenario's log and counts what it saw. */
abstract class InvariantRule {
  /** Microseconds of a millisecond, the unit of messages. */
  static final long MICROS_PER_MILLI = 1000;

  /** The log that the rule reads. */
  final ScenarioLog log;

  private final InvariantChecker.Invariant invariant;
  private final List<InvariantChecker.Violation> violations = new ArrayList<>();

  InvariantRule(InvariantChecker.Invariant invariant, ScenarioLog log) {
    this.invariant = invariant;
    this.log = log;
  }

  /** Reads the log; called once. */
  abstract void check();

  /** The figures of its row of the report; valid after the check. */
  abstract String summary();

  final InvariantChecker.Invariant invariant() {
    return invariant;
  }

  /** In the order in which they were found. */
  final List<InvariantChecker.Violation> violations() {
    return violations;
  }

  final void violated(String description) {
    violations.add(new InvariantChecker.Violation(invariant, description));
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

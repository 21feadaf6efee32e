package switchgap.testbed.scenario;

import java.util.ArrayList;
import java.util.List;
import switchgap.testbed.invariant.Invariant;
import switchgap.testbed.invariant.Violation;

/** Checks one invariant against a scenario's log and counts what it saw. */
abstract class InvariantCheck {
  /** Microseconds of a millisecond, the unit of messages. */
  static final long MICROS_PER_MILLI = 1000;

  /** The log that the check reads. */
  final ScenarioLog log;

  private final Invariant invariant;
  private final List<Violation> violations = new ArrayList<>();

  InvariantCheck(Invariant invariant, ScenarioLog log) {
    this.invariant = invariant;
    this.log = log;
  }

  /** Reads the log; called once. */
  abstract void check();

  /** The figures of its row of the report; valid after the check. */
  abstract String summary();

  final Invariant invariant() {
    return invariant;
  }

  /** In the order in which they were found. */
  final List<Violation> violations() {
    return violations;
  }

  final void violated(String description) {
    violations.add(new Violation(invariant, description));
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

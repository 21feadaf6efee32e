package switchgap.testbed.scenario;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import switchgap.testbed.invariant.Violation;

/**
 * Checks a played scenario against five invariants, by what passed on the sockets of workers and
 * clients. What a router reports of itself is no evidence. A log that is cut off is rejected.
 */
public final class InvariantChecker {
  private static final int MAX_PRINTED_VIOLATIONS = 20;

  private final List<InvariantCheck> checks;

  private InvariantChecker(ScenarioLog log) {
    checks =
        List.of(
            new FinalResponseCheck(log),
            new DuplicateEffectCheck(log),
            new DrainingWorkerCheck(log),
            new SlowStartCheck(log),
            new LoadQuotaCheck(log));
    checks.forEach(InvariantCheck::check);
  }

  /**
   * Checks the directory of a played scenario.
   *
   * @throws IOException if a log is missing, cut off or unreadable
   */
  public static InvariantChecker read(Path directory) throws IOException {
    return new InvariantChecker(ScenarioLog.read(directory));
  }

  /**
   * All violations, by invariant in the order of the report and in the order in which they were
   * found.
   */
  public List<Violation> violations() {
    return checks.stream().flatMap(check -> check.violations().stream()).toList();
  }

  /** Prints a row for each invariant with its counts, then the violations. */
  public void print(PrintStream out) {
    for (InvariantCheck check : checks) {
      int count = check.violations().size();
      String label = check.invariant().scenarioLabel();
      out.printf(
          "%-13s %-7s %s%n",
          label,
          count == 0 ? "kept" : "BROKEN",
          check.summary() + (count == 0 ? "" : "; " + count + " violations"));
    }
    List<Violation> violations = violations();
    violations.stream()
        .limit(MAX_PRINTED_VIOLATIONS)
        .forEach(violation -> out.println("  " + violation.description()));
    if (violations.size() > MAX_PRINTED_VIOLATIONS) {
      out.println("  and " + (violations.size() - MAX_PRINTED_VIOLATIONS) + " more");
    }
  }
}

package switchgap.testbed.scenario;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import switchgap.testbed.invariant.Violation;

/**
 * Checks the logs of a scenario run against five invariants. The emulators and the fault script
 * write these logs, not the routers, so a router that reports its own state wrongly cannot hide a
 * violation. A truncated log is an error.
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
   * Reads the logs in the directory of a scenario run and checks them.
   *
   * @throws IOException if a log is missing, truncated or unreadable
   */
  public static InvariantChecker read(Path directory) throws IOException {
    return new InvariantChecker(ScenarioLog.read(directory));
  }

  /**
   * All violations, sorted by invariant in the order of the report; those of one invariant in the
   * order in which they were found.
   */
  public List<Violation> violations() {
    return checks.stream().flatMap(check -> check.violations().stream()).toList();
  }

  /**
   * Prints one row per invariant with its result and counts, and then the violations, at most
   * {@value #MAX_PRINTED_VIOLATIONS} of them.
   */
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
      out.println("  and " + (violations.size() - MAX_PRINTED_VIOLATIONS) + " more violations");
    }
  }
}

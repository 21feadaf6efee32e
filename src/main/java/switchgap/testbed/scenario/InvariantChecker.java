package switchgap.testbed.scenario;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;

/**
 * Checks the five invariants of a played scenario against what passed on the sockets of workers and
 * clients. What a router reports of itself is no evidence. A log that does not end with its last
 * line is refused.
 */
public final class InvariantChecker {
  /** The invariants, in the order of the report; their names are its words. */
  public enum Invariant {
    /** One final response before the deadline. */
    ANSWERS,
    /** No effect twice. */
    REPEATS,
    /** Nothing new to a worker that drains. */
    DRAINS,
    /** No cold worker overloaded. */
    COLD_WORKERS,
    /** No more load commands than the ration. */
    RATION
  }

  /** A violated invariant: which attempt or worker, and the lines of the logs that show it. */
  public record Violation(Invariant rule, String what) {}

  private static final int MAX_PRINTED_VIOLATIONS = 20;
  private final List<InvariantRule> rules;

  private InvariantChecker(ScenarioLog log) {
    rules =
        List.of(
            new AnswersRule(log),
            new RepeatsRule(log),
            new DrainsRule(log),
            new ColdWorkersRule(log),
            new RationRule(log));
    rules.forEach(InvariantRule::check);
  }

  /**
   * Checks the directory of a played scenario.
   *
   * @throws IOException when a log is missing, cut off or unreadable
   */
  public static InvariantChecker read(Path directory) throws IOException {
    return new InvariantChecker(ScenarioLog.read(directory));
  }

  /** All violations, by invariant and in the order in which they were found. */
  public List<Violation> violations() {
    return rules.stream().flatMap(rule -> rule.violations().stream()).toList();
  }

  /** Prints a row for each invariant with its counts, then the violations. */
  public void print(PrintStream out) {
    for (InvariantRule rule : rules) {
      int count = rule.violations().size();
      String name = rule.invariant().name().toLowerCase(Locale.ROOT).replace('_', ' ');
      out.printf(
          "%-13s %-7s %s%n",
          name,
          count == 0 ? "kept" : "BROKEN",
          rule.summary() + (count == 0 ? "" : "; " + count + " violations"));
    }
    List<Violation> violations = violations();
    violations.stream()
        .limit(MAX_PRINTED_VIOLATIONS)
        .forEach(violation -> out.println("  " + violation.what()));
    if (violations.size() > MAX_PRINTED_VIOLATIONS) {
      out.println("  and " + (violations.size() - MAX_PRINTED_VIOLATIONS) + " more");
    }
  }
}

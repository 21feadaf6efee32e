package switchgap.testbed.invariant;

import java.util.ArrayList;
import java.util.List;

/** Collects the violations of one run in the order in which they are found. Not thread-safe. */
public final class ViolationRecorder {
  private final List<Violation> violations = new ArrayList<>();

  /**
   * Adds a violation.
   *
   * @param invariant the violated invariant
   * @param description which request, worker or process violates it and by how much
   */
  public void record(Invariant invariant, String description) {
    violations.add(new Violation(invariant, description));
  }

  /** Returns an unmodifiable copy of the violations recorded so far. */
  public List<Violation> violations() {
    return List.copyOf(violations);
  }
}

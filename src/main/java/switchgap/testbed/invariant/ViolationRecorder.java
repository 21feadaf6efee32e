package switchgap.testbed.invariant;

import java.util.ArrayList;
import java.util.List;

/** Collects the violations of one run in the order in which checks find them. One thread. */
public final class ViolationRecorder {
  private final List<Violation> violations = new ArrayList<>();

  /**
   * Adds a violation.
   *
   * @param invariant the invariant that does not hold
   * @param description which request, worker or process violates it and by how much
   */
  public void record(Invariant invariant, String description) {
    violations.add(new Violation(invariant, description));
  }

  /** The violations so far, as a copy. */
  public List<Violation> violations() {
    return List.copyOf(violations);
  }
}

package switchgap.testbed.invariant;

/**
 * One violation of an invariant.
 *
 * @param invariant the invariant that does not hold
 * @param description which request, worker or process violates it and by how much
 */
public record Violation(Invariant invariant, String description) {}

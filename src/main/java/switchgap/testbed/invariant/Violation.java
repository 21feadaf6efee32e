package switchgap.testbed.invariant;

/**
 * A violation of an invariant by one request, worker or process.
 *
 * @param invariant the violated invariant
 * @param description which request, worker or process violates it and by how much
 */
public record Violation(Invariant invariant, String description) {}

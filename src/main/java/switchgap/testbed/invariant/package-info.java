/**
 * The vocabulary of the scenario checker and the soak checker: the invariants that a run must keep
 * and the violations that a check reports. Nothing here is shared with the router under test.
 */
package switchgap.testbed.invariant;

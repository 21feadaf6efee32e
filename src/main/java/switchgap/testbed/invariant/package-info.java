/**
 * Types that the scenario checker and the soak checker share: the invariants that must hold in a
 * run and the violations that a check reports. The router under test does not use them.
 */
package switchgap.testbed.invariant;

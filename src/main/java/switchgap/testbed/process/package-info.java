/**
 * Child processes under test, the signals sent to them, and loopback ports. Scenarios, experiments
 * and the soak test share this package; it depends on no other package of the test bed.
 */
package switchgap.testbed.process;

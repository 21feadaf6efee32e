/**
 * Operating-system resources of programs under test: child processes, the signals sent to them and
 * free loopback ports. Shared by scenarios, experiments and the soak; independent of the rest.
 */
package switchgap.testbed.process;

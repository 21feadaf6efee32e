/**
 * Scenarios: the reader of their YAML documents, the test bed that runs them over sockets, and the
 * checks of the logs that a run writes.
 */
package switchgap.testbed.scenario;

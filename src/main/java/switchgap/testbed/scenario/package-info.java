/**
 * Scenarios: their YAML documents, the test bed that plays them over sockets, and the checks of
 * their logs.
 */
package switchgap.testbed.scenario;

/**
 * Experiments and measurements: variants of the router over scenarios in simulated time, open-loop
 * loads on sockets, and the router's latency, throughput and memory beside a bare relay. Only the
 * command line depends on this package.
 */
package switchgap.testbed.experiment;

/**
 * Experiments and measurements: comparisons of router variants in simulated time, open-loop loads
 * over sockets, and measurements of the router's latency, throughput and memory. Only the command
 * line depends on this package.
 */
package switchgap.testbed.experiment;

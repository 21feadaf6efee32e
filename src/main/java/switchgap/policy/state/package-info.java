/**
 * The state of a routing policy (requests, functions, workers, histograms and counters) and the
 * dispatch of its decisions. The package makes no routing decisions and contains no tuned values.
 * It is not thread-safe: a single thread uses it.
 */
package switchgap.policy.state;

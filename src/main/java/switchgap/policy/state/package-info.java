/**
 * What a policy remembers: requests, functions, workers, histograms and counts, and the dispatch of
 * its decisions. It contains no decision and no tuned value. Not thread-safe: one thread uses it.
 */
package switchgap.policy.state;

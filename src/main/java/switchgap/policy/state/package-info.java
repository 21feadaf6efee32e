/**
 * Holders of what the policy remembers: requests, functions, workers, histograms, counts. They keep
 * account and hold no decision and no tuned value. One thread.
 */
package switchgap.policy.state;

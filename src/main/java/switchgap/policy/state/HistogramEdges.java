package switchgap.policy.state;

/**
 * The edges of a policy's histograms.
 *
 * @param relativeDurations durations as a ratio to the latency objective
 * @param latencyRatios durations as a ratio to the usual one
 * @param foreignLoads requests of other routers at a worker
 * @param errors outcomes: 0 for a success, 1 for an error
 * @param concurrency reported requests in flight at a worker, for each slot of a replica
 */
public record HistogramEdges(
    double[] relativeDurations,
    double[] latencyRatios,
    double[] foreignLoads,
    double[] errors,
    double[] concurrency) {}

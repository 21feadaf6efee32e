package switchgap.policy.state;

/**
 * Edges of the histograms that a policy keeps, as it chooses them.
 *
 * @param relativeDurations durations as a ratio to the latency objective
 * @param latencyRatios durations as a ratio to what is usual
 * @param foreignLoads requests of other routers at a worker
 * @param errors outcomes: 0 for a success, 1 for an error
 * @param concurrency requests met at a worker, for each slot of a replica
 */
public record HistogramEdges(
    double[] relativeDurations,
    double[] latencyRatios,
    double[] foreignLoads,
    double[] errors,
    double[] concurrency) {}

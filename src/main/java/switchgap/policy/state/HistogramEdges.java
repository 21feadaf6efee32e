package switchgap.policy.state;

/**
 * The bin edges of a policy's histograms.
 *
 * @param relativeDurations durations as a ratio to the latency objective
 * @param latencyRatios ratios of actual to expected durations
 * @param foreignLoads requests of other routers at a worker
 * @param errors outcomes of attempts: 0 for a success, 1 for an error
 * @param concurrency reported concurrency per slot, summed over the target replicas of a function
 */
public record HistogramEdges(
    double[] relativeDurations,
    double[] latencyRatios,
    double[] foreignLoads,
    double[] errors,
    double[] concurrency) {}

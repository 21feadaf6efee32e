package switchgap.policy.state;

/** This router's measurements over all workers. */
public final class FleetStatistics {
  /** Other routers' requests at a worker, one value per report. */
  public final Histogram foreignLoads;

  /** Ratios of actual to expected durations. */
  public final Histogram latencyRatios;

  /** Outcomes of attempts: 0 for a success, 1 for an error. */
  public final Histogram errors;

  FleetStatistics(HistogramEdges edges) {
    foreignLoads = new Histogram(edges.foreignLoads());
    latencyRatios = new Histogram(edges.latencyRatios());
    errors = new Histogram(edges.errors());
  }
}

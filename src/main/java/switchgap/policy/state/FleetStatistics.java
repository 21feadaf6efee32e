package switchgap.policy.state;

/** What this router measured of all workers together. */
public final class FleetStatistics {
  /** Other routers' requests at a worker, as reported. */
  public final Histogram foreignLoads;

  /** Durations as a ratio to the usual one. */
  public final Histogram latencyRatios;

  /** Outcomes: 0 for a success, 1 for an error. */
  public final Histogram errors;

  FleetStatistics(HistogramEdges edges) {
    foreignLoads = new Histogram(edges.foreignLoads());
    latencyRatios = new Histogram(edges.latencyRatios());
    errors = new Histogram(edges.errors());
  }
}

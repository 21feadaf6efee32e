package switchgap.testbed.experiment;

/**
 * One second of a trial.
 *
 * @param load offered load, as a share of capacity
 * @param service weight earned over weight requested, 0 where nothing was requested
 * @param meanLevel mean over the routers of how far service is reduced: 0 at full service, the
 *     level's rank and its shed fraction else
 * @param belowFullShare share of the routers below full service
 */
record SecondSample(double load, double service, double meanLevel, double belowFullShare) {
  /** The same second with the service that was known later. */
  SecondSample withService(double earnedShare) {
    return new SecondSample(load, earnedShare, meanLevel, belowFullShare);
  }
}

package switchgap.testbed.experiment;

/**
 * The figures of one second of a trial.
 *
 * @param load offered load, as a share of capacity
 * @param service earned weight divided by requested weight, 0 if nothing was requested
 * @param meanLevel reduction of service as a mean over the routers: 0 at full service, 0 to 1 at
 *     {@code LEAST}, 1 to 2 at {@code MOST}, 2 to 3 at {@code HOLD}, increasing with the level's
 *     shed fraction
 * @param belowFullShare share of the routers below full service
 */
record SecondSample(double load, double service, double meanLevel, double belowFullShare) {
  /**
   * Returns a copy with the service, which is known only after the second's requests have ended.
   */
  SecondSample withService(double earnedShare) {
    return new SecondSample(load, earnedShare, meanLevel, belowFullShare);
  }
}

package switchgap.testbed.soak;

/**
 * One fault of a {@link FaultPlan}.
 *
 * @param type what fails
 * @param startMillis start, relative to the start of the fault injection
 * @param durationMillis duration; types that last a fixed time ignore it
 * @param seed seed of the other random choices, such as which router is affected
 */
record PlannedFault(SoakFaultType type, int startMillis, int durationMillis, long seed) {
  @Override
  public String toString() {
    return type + " at " + startMillis + " ms for " + durationMillis + " ms";
  }
}

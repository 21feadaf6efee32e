package switchgap.testbed.soak;

/**
 * One fault of a plan.
 *
 * @param type what fails
 * @param startMillis its start, counted from the start of the clients
 * @param durationMillis how long it lasts
 * @param seed of all else that is left to chance: targets and strengths
 */
record PlannedFault(SoakFaultType type, int startMillis, int durationMillis, long seed) {
  @Override
  public String toString() {
    return type + " at " + startMillis + " ms for " + durationMillis + " ms";
  }
}

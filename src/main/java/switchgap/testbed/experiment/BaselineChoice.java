package switchgap.testbed.experiment;

/** How the baseline policy selects one of the ready workers. */
enum BaselineChoice {
  /** A random worker, all with equal probability. */
  RANDOM,
  /** The workers one after another, starting over after the last. */
  ROUND_ROBIN;

  private static final String ROUND_ROBIN_WORD = "turns";

  /** Parses the command line option: {@code turns} is round robin, any other word is random. */
  static BaselineChoice of(String word) {
    return word.equals(ROUND_ROBIN_WORD) ? ROUND_ROBIN : RANDOM;
  }
}

package switchgap.testbed.experiment;

/** How the baseline policy chooses among the ready workers. */
enum BaselineChoice {
  /** Any of them, with equal probability. */
  RANDOM,
  /** Each in turn. */
  ROUND_ROBIN;

  private static final String ROUND_ROBIN_WORD = "turns";

  /** The choice of a word of the command line; any word but {@code turns} is the random choice. */
  static BaselineChoice of(String word) {
    return word.equals(ROUND_ROBIN_WORD) ? ROUND_ROBIN : RANDOM;
  }
}

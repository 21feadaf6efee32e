package switchgap.testbed.emulator;

/**
 * How a client's attempt ended, and the word for it in logs and in the routers' response header.
 */
public enum ClientOutcome {
  FINISHED("finished"),
  REJECTED("pushed-back"),
  FAILED("killed"),
  REFUSED("refused"),
  TIMED_OUT("gave-up"),
  CONNECTION_LOST("broken"),
  UNREACHABLE("unreachable");

  private final String word;

  ClientOutcome(String word) {
    this.word = word;
  }

  /** The word written to logs. */
  public String word() {
    return word;
  }

  /** Whether it is a response of the router that ends the attempt for good. */
  public boolean isFinal() {
    return this == FINISHED || this == REJECTED || this == FAILED || this == REFUSED;
  }

  /** The outcome of a word; an unknown word counts as a lost connection. */
  public static ClientOutcome of(String word) {
    for (ClientOutcome outcome : values()) {
      if (outcome.word.equals(word)) {
        return outcome;
      }
    }
    return CONNECTION_LOST;
  }
}

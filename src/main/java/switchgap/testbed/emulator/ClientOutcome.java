package switchgap.testbed.emulator;

/**
 * How a client's attempt ended, and the word for it in logs and in the routers' response header.
 */
public enum ClientOutcome {
  /** The worker's response came back. */
  SUCCEEDED("finished"),
  /** The router rejected it; a retry is harmless. */
  REJECTED("pushed-back"),
  /** The router ended it as failed; it may have run. */
  FAILED("killed"),
  /** The router did not accept it. */
  REFUSED("refused"),
  /** The client saw no response before its deadline. */
  TIMED_OUT("gave-up"),
  /** The connection was lost, or the router ended it with a word unknown to clients. */
  CONNECTION_LOST("broken"),
  /** No connection to the router. */
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
    return this == SUCCEEDED || this == REJECTED || this == FAILED || this == REFUSED;
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

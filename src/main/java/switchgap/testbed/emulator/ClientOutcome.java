package switchgap.testbed.emulator;

/**
 * The outcome of a client's attempt. Each has a fixed word, which logs use and, for the outcomes
 * that a router reports, also the routers' response header.
 */
public enum ClientOutcome {
  /** The router returned the worker's response. */
  SUCCEEDED("finished"),
  /** The router rejected the request; a retry is safe. */
  REJECTED("pushed-back"),
  /** The router reported a failure; the request may have been executed. */
  FAILED("killed"),
  /** The router refused the request as invalid or out of bounds; clients do not retry it. */
  REFUSED("refused"),
  /** The client received no response before its deadline. */
  TIMED_OUT("gave-up"),
  /** The connection was lost, or the response held an unknown outcome word. */
  CONNECTION_LOST("broken"),
  /** The client could not connect or send to the router. */
  UNREACHABLE("unreachable");

  private final String word;

  ClientOutcome(String word) {
    this.word = word;
  }

  /** The outcome's word in logs and in the routers' response header. */
  public String word() {
    return word;
  }

  /** Whether the router sent a response that ended the attempt. */
  public boolean isFinal() {
    return this == SUCCEEDED || this == REJECTED || this == FAILED || this == REFUSED;
  }

  /** Returns the outcome with this word, {@link #CONNECTION_LOST} if there is none. */
  public static ClientOutcome of(String word) {
    for (ClientOutcome outcome : values()) {
      if (outcome.word.equals(word)) {
        return outcome;
      }
    }
    return CONNECTION_LOST;
  }
}

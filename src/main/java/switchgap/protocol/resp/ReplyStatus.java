package switchgap.protocol.resp;

import switchgap.policy.api.AttemptOutcome;

/**
 * The status word of a worker's reply. Its outcome determines whether the request may have been
 * executed ({@link AttemptOutcome#neverExecuted}); no other class derives this from a reply.
 */
enum ReplyStatus {
  /** The request was executed; the body is its result. */
  DATA("data", AttemptOutcome.SUCCEEDED),
  /** A load command or a load query succeeded. */
  WELL("well", AttemptOutcome.SUCCEEDED),
  /** The function is not loaded; the request was not executed. */
  ABSENT("absent", AttemptOutcome.NOT_LOADED),
  /** The worker has no capacity; the request was not executed. */
  FULL("full", AttemptOutcome.REJECTED),
  /** The request was cancelled before it arrived; it was not executed. */
  MOOT("moot", AttemptOutcome.NOT_SENT),
  /** The request failed; it may have been executed. */
  FAILED("failed", AttemptOutcome.FAILED),
  /** A load command or a load query failed. */
  ILL("ill", AttemptOutcome.FAILED);

  private final String word;
  private final AttemptOutcome outcome;

  ReplyStatus(String word, AttemptOutcome outcome) {
    this.word = word;
    this.outcome = outcome;
  }

  /** The outcome of an attempt or command that received a reply with this status. */
  AttemptOutcome outcome() {
    return outcome;
  }

  /**
   * Returns the status with this word on the wire, or null if the protocol does not define the
   * word.
   */
  static ReplyStatus ofWord(String word) {
    for (ReplyStatus status : values()) {
      if (status.word.equals(word)) {
        return status;
      }
    }
    return null;
  }
}

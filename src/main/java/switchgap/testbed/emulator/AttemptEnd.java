package switchgap.testbed.emulator;

/**
 * How a client's attempt ended.
 *
 * @param outcome the outcome
 * @param word outcome word to write to logs: as received in the router's response header, or {@link
 *     ClientOutcome#word()} if there was no response
 * @param status HTTP status, or {@link #NO_STATUS} if there was no response
 * @param retryAfterMillis retry-after time in milliseconds; negative if the response had none
 */
public record AttemptEnd(ClientOutcome outcome, String word, int status, long retryAfterMillis) {
  /** The status of an attempt that ended without a response. */
  public static final int NO_STATUS = 0;

  /** The retry-after time of an attempt whose response had none. */
  public static final long NO_RETRY_AFTER = -1;

  private static final int FIRST_NON_SUCCESS_STATUS = 300;

  /** Creates the end of an attempt that received no response. */
  public static AttemptEnd withoutResponse(ClientOutcome outcome) {
    return new AttemptEnd(outcome, outcome.word(), NO_STATUS, NO_RETRY_AFTER);
  }

  /** Creates the end of an attempt whose response held this outcome word in its header. */
  public static AttemptEnd ofResponse(String word, int status, long retryAfterMillis) {
    return new AttemptEnd(ClientOutcome.of(word), word, status, retryAfterMillis);
  }

  boolean isSuccess() {
    return outcome == ClientOutcome.SUCCEEDED && status < FIRST_NON_SUCCESS_STATUS;
  }
}

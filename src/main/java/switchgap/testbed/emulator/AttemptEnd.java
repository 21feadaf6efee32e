package switchgap.testbed.emulator;

/**
 * How a client's attempt ended.
 *
 * @param outcome its outcome
 * @param word word for the logs: the outcome's, or what the router sent in its place
 * @param status HTTP status, {@link #NO_STATUS} without a response
 * @param retryAfterMillis retry-after time in milliseconds, negative for none
 */
public record AttemptEnd(ClientOutcome outcome, String word, int status, long retryAfterMillis) {
  /** No response came. */
  public static final int NO_STATUS = 0;

  /** The response asks for no pause. */
  public static final long NO_RETRY_AFTER = -1;

  private static final int FIRST_ERROR_STATUS = 300;

  /** The end of an attempt without a response. */
  public static AttemptEnd withoutResponse(ClientOutcome outcome) {
    return new AttemptEnd(outcome, outcome.word(), NO_STATUS, NO_RETRY_AFTER);
  }

  /** A response with the word in the router's header. */
  public static AttemptEnd ofResponse(String word, int status, long retryAfterMillis) {
    return new AttemptEnd(ClientOutcome.of(word), word, status, retryAfterMillis);
  }

  boolean isSuccess() {
    return outcome == ClientOutcome.SUCCEEDED && status < FIRST_ERROR_STATUS;
  }
}

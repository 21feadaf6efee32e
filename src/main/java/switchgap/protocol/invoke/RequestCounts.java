package switchgap.protocol.invoke;

/**
 * Numbers of requests that have ended since the router's start, by outcome.
 *
 * @param succeeded requests whose client got the response of a worker
 * @param rejected requests that were never executed, so that a retry is safe
 * @param failed requests that got a failure as response and may have been executed
 * @param overdue requests whose deadline passed without a response
 */
public record RequestCounts(long succeeded, long rejected, long failed, long overdue) {
  /** Number of all requests that have ended. */
  public long total() {
    return succeeded + rejected + failed + overdue;
  }
}

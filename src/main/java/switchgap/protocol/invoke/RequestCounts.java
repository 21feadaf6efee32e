package switchgap.protocol.invoke;

/**
 * Requests that have ended since the router's start, by how they ended.
 *
 * @param succeeded a worker's response was passed on
 * @param rejected rejected; a retry is harmless
 * @param failed nothing is promised about the effect
 * @param overdue the deadline passed without a response
 */
public record RequestCounts(long succeeded, long rejected, long failed, long overdue) {
  /** All requests that have ended. */
  public long total() {
    return succeeded + rejected + failed + overdue;
  }
}

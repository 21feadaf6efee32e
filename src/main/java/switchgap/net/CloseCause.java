package switchgap.net;

/**
 * The cause for which a particular connection ended.
 *
 * @param reason the kind of cause
 * @param detail details of this particular case, or null if the reason is sufficient
 */
public record CloseCause(CloseReason reason, String detail) {
  /** Returns a cause without a detail. */
  public static CloseCause of(CloseReason reason) {
    return new CloseCause(reason, null);
  }

  /** Returns the text for log lines: the reason's description and the detail. */
  @Override
  public String toString() {
    return detail == null ? reason.description() : reason.description() + ": " + detail;
  }
}

package switchgap.net;

/**
 * Why one connection ended.
 *
 * @param reason the kind of cause
 * @param detail what it was in this case, or null where the reason says all
 */
public record CloseCause(CloseReason reason, String detail) {
  /** A cause that needs no detail. */
  public static CloseCause of(CloseReason reason) {
    return new CloseCause(reason, null);
  }

  /** The text for log lines. */
  @Override
  public String toString() {
    return detail == null ? reason.description() : reason.description() + ": " + detail;
  }
}

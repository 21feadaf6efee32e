package switchgap.router;

/**
 * The reason for an event. Implemented by enums only, so that the number of counters by reason is
 * bounded.
 */
public interface EventReason {
  /** The name of the enum constant, as it appears in counters and trace lines. */
  String name();
}

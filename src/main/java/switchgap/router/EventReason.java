package switchgap.router;

/** Why an event happened: a constant of an enum, so that the counters by reason are bounded. */
public interface EventReason {
  /** The constant's name, as it appears in counters and trace lines. */
  String name();
}

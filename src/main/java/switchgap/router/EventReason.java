package switchgap.router;

/** Why an event happened: a constant of an enum, so that the counters by reason are bounded. */
public interface EventReason {
  /** The constant's name, which counters and trace lines bear. */
  String name();
}

package switchgap.policy.api;

/** All events since the last tick, in order of arrival. */
public interface EventBatch {
  /** Tells each event to {@code events}. */
  void deliverTo(PolicyEvents events);
}

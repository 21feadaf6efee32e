package switchgap.policy.api;

/** All events since the last tick, in order of arrival. */
public interface EventBatch {
  /** Delivers each event to {@code events}. */
  void deliverTo(PolicyEvents events);
}

package switchgap.policy.api;

/** All events since the last tick, in order of arrival. */
public interface EventBatch {
  /** Calls the method of {@code events} for each event. */
  void deliverTo(PolicyEvents events);
}

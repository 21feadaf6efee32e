package switchgap.policy.api;

/** All that came in since the last round, in order of arrival. */
public interface EventBatch {
    void deliverTo(PolicyEvents feed);
}

package switchgap.port;

/** All that came in since the last round, in order of arrival. */
public interface Incoming {
    void into(Feed feed);
}

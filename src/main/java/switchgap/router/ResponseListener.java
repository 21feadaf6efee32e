package switchgap.router;

/** Is told, once, how a call that was taken ended. */
public interface ResponseListener {
    /** The one final answer. */
    void answered(PendingRequest c, Response a);

    /** The limit passed before this answer could be passed on; whether anything may still be sent is the protocol's to say. */
    void overdue(PendingRequest c, Response late);

    /** Whether the client is known to have gone, though that has yet to be taken in: nothing further goes out for it. */
    default boolean gone() { return false; }
}

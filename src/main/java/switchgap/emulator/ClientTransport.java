package switchgap.emulator;

/** How a client's try reaches a router: over sockets, or in simulated time. */
public interface ClientTransport {
    /** One try; times in microseconds of the ticker. */
    record ClientAttempt(String call, String job, FunctionModel model, String customer, int router,
        long limit, String key) {}

    /** Hears once how a try ended: finished, pushed-back, killed, refused, gave-up, broken or unreachable. */
    interface ResultHandler {
        /** {@code comeBack} in milliseconds, below 0 where none was told. */
        void ended(String end, int status, long comeBack);
    }

    void send(ClientAttempt t, ResultHandler then);
}

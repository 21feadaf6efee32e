package switchgap.standin;

/** How a client's try reaches a router: over sockets, or in simulated time. */
public interface Way {
    /** One try; times in microseconds of the ticker. */
    record Try(String call, String job, Model model, String customer, int router, long limit, String key) { }

    /** Hears once how a try ended: finished, pushed-back, killed, refused, gave-up, broken or unreachable. */
    interface Ending {
        /** {@code comeBack} in milliseconds, below 0 where none was told. */
        void ended(String end, int status, long comeBack);
    }

    void send(Try t, Ending then);
}

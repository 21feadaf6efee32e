package switchgap.policy.api;

/** How an execution, a probe or an order ended, and whether that proves the job did not run. */
public enum AttemptOutcome {
    FINISHED(false), ERROR(false), FULL(true), TIMED_OUT(false), NO_CONNECTION(true), BROKEN(false),
    CANCELLED(false), NOT_SENT(true), MISS(true);

    public final boolean neverRan;

    AttemptOutcome(boolean neverRan) {
        this.neverRan = neverRan;
    }
}

package switchgap.policy.api;

/** How an execution, a probe or an order ended, and whether that proves the job did not run. */
public enum AttemptOutcome {
    SUCCEEDED(false), FAILED(false), REJECTED(true), TIMED_OUT(false), CONNECT_FAILED(true), CONNECTION_LOST(false),
    CANCELLED(false), NOT_SENT(true), NOT_LOADED(true);

    public final boolean neverExecuted;

    AttemptOutcome(boolean neverRan) {
        this.neverExecuted = neverRan;
    }
}

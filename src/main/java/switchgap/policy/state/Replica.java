package switchgap.policy.state;

import java.time.Duration;

/** What is believed of a function's copies at one worker. */
public final class Replica {
    /** UNKNOWN: not heard of lately; ORDERED: on its way, as a hold order went out. */
    public enum State { UNKNOWN, ABSENT, LOADING, LOADED }

    public State state = State.UNKNOWN;
    public Duration lastUsed;
    public Duration loadCommandedAt;
    /** When an order ended without a copy, as there is no room or the worker drains; else null. */
    public Duration loadRefusedAt;
    public boolean queryPending;
    /** Whether a hold order is out, whatever is believed meanwhile. */
    public boolean loadPending;
}

package switchgap.policy.state;

import java.time.Duration;

/** What is believed of a function's copies at one worker. */
public final class Replica {
    /** UNKNOWN: not heard of lately; ORDERED: on its way, as a hold order went out. */
    public enum ReplicaState { UNKNOWN, ABSENT, ORDERED, STANDS }

    public ReplicaState belief = ReplicaState.UNKNOWN;
    public Duration used;
    public Duration ordered;
    /** When an order ended without a copy, as there is no room or the worker drains; else null. */
    public Duration refused;
    public boolean asked;
    /** Whether a hold order is out, whatever is believed meanwhile. */
    public boolean out;
}

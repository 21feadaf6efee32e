package switchgap.router;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import switchgap.admission.ServiceLevel;

/** A call as a client gave it, and how it stands. All times are spans since the router's start. */
public final class PendingRequest {
    /** HELD until its end; LEFT: the client went; OVERDUE: its limit passed unanswered; REFUSED: never taken. */
    public enum State { HELD, ANSWERED, LEFT, OVERDUE, REFUSED }

    public final String id;
    public final String function;
    public final int workload;
    /** Index of the customer, -1 for none. */
    public final int customer;
    public final Duration limit;
    /** Expected work, or null. */
    public final Duration hint;
    /** The fingerprint by which a repeat is known, or null. */
    public final String fingerprint;
    public final String contentType;
    public final byte[] body;
    /** Memory of a copy in MB, its lanes, its usual load time (null: not told). */
    public final double memory;
    public final int lanes;
    public final Duration load;
    /** The client says that this is a repeat. */
    public final boolean repeat;
    /** Whoever is told of the end. */
    public final ResponseListener asker;
    /** The reduced level that pushed it back, null where none did. */
    public ServiceLevel met;
    State state = State.HELD;
    Duration taken = Duration.ZERO;
    int index = -1;
    final List<Attempt> runs = new ArrayList<>(1);

    public PendingRequest(String id, String function, int workload, int customer, Duration limit, Duration hint,
                String fingerprint, String contentType, byte[] body, double memory, int lanes, Duration load,
                boolean repeat, ResponseListener asker) {
        this.id = id;
        this.function = function;
        this.workload = workload;
        this.customer = customer;
        this.limit = limit;
        this.hint = hint;
        this.fingerprint = fingerprint;
        this.contentType = contentType;
        this.body = body;
        this.memory = memory;
        this.lanes = lanes;
        this.load = load;
        this.repeat = repeat;
        this.asker = asker;
    }

    /** Its executions so far, to be read only. */
    public List<Attempt> runs() {
        return Collections.unmodifiableList(runs);
    }

    public State state() {
        return state;
    }

    /** Whether anybody still waits for its answer: whatever has not gone out for another one need not go any more. */
    public boolean awaited() { return state == State.HELD && !asker.gone(); }
}

package switchgap.policy.state;

import java.time.Duration;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;

/** A job taken and what has become of it. */
public final class Request {
    public final int id;
    public final RequestClass of;
    public final Function function;
    public final Duration arrived;
    public final Duration limit;
    public final Duration hint;
    public final List<Attempt> executions = new ArrayList<>(2);
    public final BitSet failedAt = new BitSet();
    /** Where it erred last before its function was seen to stand anywhere. */
    public Worker erred;
    public double value;
    public double luck;
    public int outstanding;
    public int mayHaveRun;
    public Worker anchor;
    public Duration anchored;
    public boolean closed;
    public Duration lookBy;
    public int looks;
    public boolean waiting;

    public Request(int id, RequestClass of, Function function, Duration arrived, Duration limit,
               Duration hint) {
        this.id = id;
        this.of = of;
        this.function = function;
        this.arrived = arrived;
        this.limit = limit;
        this.hint = hint;
    }
}

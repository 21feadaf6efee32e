package switchgap.router;

import java.time.Duration;

/** One execution of a call at a worker; it ends once, by whichever comes first of its answer and its time-out. */
public final class Attempt {
    public final PendingRequest call;
    public final int number;
    public final WorkerEntry worker;
    final Duration sent;
    boolean ended;
    boolean mayHaveRun = true;
    TimerQueue.Timer timer;
    /** The transport's own. */
    public volatile Object exchange;

    Attempt(PendingRequest call, int number, WorkerEntry worker, Duration sent) {
        this.call = call;
        this.number = number;
        this.worker = worker;
        this.sent = sent;
    }

    /** The execution's name on the wire: the call's id and its number. */
    public String name() {
        return call.id + "." + number;
    }
}

package switchgap.router;

import java.time.Duration;

/** An order to a worker, or a probe (no function); it ends once. */
public final class WorkerCommand {
    final WorkerEntry worker;
    final int function;
    final Duration sent;
    boolean ended;
    TimerQueue.Timer timer;
    /** The transport's own. */
    public volatile Object exchange;

    WorkerCommand(WorkerEntry worker, int function, Duration sent) {
        this.worker = worker;
        this.function = function;
        this.sent = sent;
    }

    /** When the module gave it. */
    public Duration sentAt() { return sent; }
}

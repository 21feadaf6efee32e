package switchgap.state;

import java.time.Duration;

/** One try of a job at a worker. */
public final class Execution {
    public final int worker;
    public final Duration sent;
    public final boolean stood;
    public boolean done;

    public Execution(int worker, Duration sent, boolean stood) {
        this.worker = worker;
        this.sent = sent;
        this.stood = stood;
    }
}

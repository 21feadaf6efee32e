package switchgap.router;

import java.time.Duration;
import switchgap.policy.api.AttemptOutcome;

/** The seam: what the core asks of the world. None of these calls back at once; what follows comes as an event. */
public interface WorkerTransport {
    /** Begins an execution; its end is told by {@link RouterCore#executionEnded}. */
    void send(Attempt run, Duration allow);

    /**
     * Ends an execution's exchange: a late answer must reach nobody. Tells what that proves: NOT_SENT or NO_CONNECTION
     * where no byte of it went out and none will, else TIMED_OUT.
     */
    AttemptOutcome abandon(Attempt run);

    /** Orders copies, or with 0 asks how many stand; the end is told by {@link RouterCore#orderEnded}. */
    void requestReplicas(WorkerEntry worker, String function, int copies, WorkerCommand order);

    /** Has idle copies unloaded; the end is told by {@link RouterCore#dropEnded}. */
    void unload(WorkerEntry worker, String function, WorkerCommand order);

    /** Asks a worker for its load; the end is told by {@link RouterCore#probed}. */
    void probe(WorkerEntry worker, WorkerCommand order);

    /** Ends an order's or a probe's exchange. */
    void abandon(WorkerCommand order);

    /**
     * A worker takes nothing new; for good where it is forgotten or has another address. What waits for a connection
     * to it is told at once, in place of at its time-out.
     */
    default void stopAccepting(WorkerEntry worker, boolean forGood) { }

    /** Asks for the list, or for its changes from now on. */
    void requestEndpointList();
}

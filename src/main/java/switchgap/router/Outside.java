package switchgap.router;

import java.time.Duration;

/** The seam: what the core asks of the world. None of these calls back at once; what follows comes as an event. */
public interface Outside {
    /** Begins an execution; its end is told by {@link Core#executionEnded}. */
    void send(Run run, Duration allow);

    /** Ends an execution's exchange: a late answer must reach nobody. */
    void abandon(Run run);

    /** Orders copies, or with 0 asks how many stand; the end is told by {@link Core#orderEnded}. */
    void hold(Seen worker, String function, int copies, Order order);

    void drop(Seen worker, String function);

    /** Asks a worker for its load; the end is told by {@link Core#probed}. */
    void probe(Seen worker, Order order);

    /** Ends an order's or a probe's exchange. */
    void abandon(Order order);

    /** Asks for the list, or for its changes from now on. */
    void list();

    void note(String text);
}

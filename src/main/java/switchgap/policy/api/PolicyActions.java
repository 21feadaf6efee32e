package switchgap.policy.api;

import java.time.Duration;

/** Where decisions go, in the order they are taken. */
public interface PolicyActions {
    /** Starts an execution; they are numbered from 0 for each job. */
    void send(int job, int worker, Duration allow);

    void cancel(int job, int execution);

    /** Final answer: harmless to try again; {@code comeBack} null for no advice. */
    void pushBack(int job, Duration comeBack);

    /** Final answer: no promise about its effect. */
    void kill(int job);

    /** Orders a worker to hold copies of a function; 0 only asks how many stand. */
    void hold(int worker, int function, int copies);

    /** Has the idle copies of a function unloaded. */
    void drop(int worker, int function);

    void probe(int worker);

    void wake(Duration after, long token);

    /** Asks for the list, or for its changes from now on. */
    void subscribe();

    /** Nothing refers to this index any more. */
    void forgetJob(int job);

    void forgetFunction(int function);

    void forgetWorker(int worker);
}

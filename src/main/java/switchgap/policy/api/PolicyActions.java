package switchgap.policy.api;

import java.time.Duration;

/** Where decisions go, in the order they are taken. */
public interface PolicyActions {
    /** Starts an execution; they are numbered from 0 for each job. */
    void startAttempt(int job, int worker, Duration allow);

    void cancelAttempt(int job, int execution);

    /** Final answer: harmless to try again; {@code comeBack} null for no advice. */
    void reject(int job, Duration comeBack);

    /** Final answer: no promise about its effect. */
    void fail(int job);

    /** Orders a worker to hold copies of a function; 0 only asks how many stand. */
    void load(int worker, int function, int copies);

    /** Has the idle copies of a function unloaded. */
    void unload(int worker, int function);

    void probe(int worker);

    void scheduleWakeUp(Duration after, long token);

    /** Asks for the list, or for its changes from now on. */
    void subscribeToEndpoints();

    /** Nothing refers to this index any more. */
    void releaseRequest(int job);

    void releaseFunction(int function);

    void releaseWorker(int worker);
}

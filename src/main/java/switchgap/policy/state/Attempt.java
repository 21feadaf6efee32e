package switchgap.policy.state;

/** One try of a job at a worker: whether a copy was thought to stand there, or the try waits for its load. */
public final class Attempt {
    public final boolean stood;
    public final boolean loads;
    public boolean done;

    public Attempt(boolean stood, boolean loadsOnMiss) {
        this.stood = stood;
        this.loads = !stood && loadsOnMiss;
    }
}

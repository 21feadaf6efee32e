package switchgap.policy.state;

/** One try of a job at a worker: whether a copy was thought to stand there, or the try waits for its load. */
public final class Attempt {
    public final boolean replicaLoaded;
    public final boolean waitsForLoad;
    public boolean ended;

    public Attempt(boolean stood, boolean loadsOnMiss) {
        this.replicaLoaded = stood;
        this.waitsForLoad = !stood && loadsOnMiss;
    }
}

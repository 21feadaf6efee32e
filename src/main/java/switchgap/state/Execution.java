package switchgap.state;

/** One try of a job at a worker: whether a copy was thought to stand there, or the try waits for its load. */
public final class Execution {
    public final boolean stood;
    public final boolean loads;
    public boolean done;

    public Execution(boolean stood, boolean loadsOnMiss) {
        this.stood = stood;
        this.loads = !stood && loadsOnMiss;
    }
}

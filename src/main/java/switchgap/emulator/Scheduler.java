package switchgap.emulator;

/** The stand-ins' clock and their one thread: microseconds of wall time, and what runs when. */
public interface Scheduler {
    long now();

    void after(long micros, Runnable then);

    void post(Runnable then);
}

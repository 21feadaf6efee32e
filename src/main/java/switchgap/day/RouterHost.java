package switchgap.day;

import java.io.IOException;

/** Runs one router of a day: a process of its own, or one among several in this process that share nothing. */
interface RouterHost {
    /** Starts it; it must listen at the port that its page states. */
    void start() throws IOException;

    boolean runs();

    /** The process dies at once. */
    void kill();

    /** Stopped by a signal for a while; false where that can't be done. */
    boolean pause(boolean is);

    /** Asked to stop in good order; waits for its end. */
    void stop();
}

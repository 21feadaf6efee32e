package switchgap.scenario;

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

    /** Its planner dies at once; false where it has none. */
    default boolean killPlanner() { return false; }

    /** Starts its planner, where it has one that does not run. */
    default void startPlanner() throws IOException {}

    /** Its planner is stopped by a signal for a while; false where that can't be done. */
    default boolean pausePlanner(boolean is) {
        return false;
    }

    /** Asked to stop in good order; waits for its end. */
    void stop();
}

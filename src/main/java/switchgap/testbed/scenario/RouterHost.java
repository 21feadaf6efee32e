package switchgap.testbed.scenario;

import java.io.IOException;

/** Runs one router of a scenario: in a process of its own, or with others in this process. */
interface RouterHost {
  /** Starts it; it listens at the port that its configuration states. */
  void start() throws IOException;

  /** Whether it runs. */
  boolean runs();

  /** Ends it at once. */
  void kill();

  /** Stops it by a signal, or lets it go on; false where that is impossible. */
  boolean pause(boolean paused);

  /** Ends its planner at once; false where it has none. */
  default boolean killPlanner() {
    return false;
  }

  /** Starts its planner, where it has one that does not run. */
  default void startPlanner() throws IOException {}

  /** Stops its planner by a signal, or lets it go on; false where that is impossible. */
  default boolean pausePlanner(boolean paused) {
    return false;
  }

  /** Asks it to stop in good order and waits for its end. */
  void stop();
}

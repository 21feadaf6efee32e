package switchgap.testbed.scenario;

import java.io.IOException;

/**
 * Runs one router of a scenario, with its planner where it has one: in processes of their own, or
 * within this process.
 */
interface RouterHost {
  /** Starts the router; it listens at the port of its configuration. */
  void start() throws IOException;

  /** Whether the router was started and has not ended. */
  boolean isRunning();

  /** Ends the router at once. */
  void kill();

  /** Suspends the router by a signal; false where that is impossible. */
  boolean suspend();

  /** Resumes a suspended router; false where that is impossible. */
  boolean resume();

  /** Ends the planner at once; false where there is none. */
  default boolean killPlanner() {
    return false;
  }

  /** Starts the planner, where there is one that is not running. */
  default void startPlanner() throws IOException {}

  /** Suspends the planner by a signal; false where that is impossible. */
  default boolean suspendPlanner() {
    return false;
  }

  /** Resumes a suspended planner; false where that is impossible. */
  default boolean resumePlanner() {
    return false;
  }

  /** Shuts the router down gracefully and waits for its end. */
  void stop();
}

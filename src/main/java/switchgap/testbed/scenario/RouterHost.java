package switchgap.testbed.scenario;

import java.io.IOException;

/**
 * Controls one router of a scenario and its planner, if it has one. They run in separate processes,
 * or the router runs in this process.
 */
interface RouterHost {
  /** Starts the router and its planner; the router listens on the port of its configuration. */
  void start() throws IOException;

  /** Whether the router was started and has not ended. */
  boolean isRunning();

  /** Kills the router without a graceful shutdown. Its planner keeps running. */
  void kill();

  /** Suspends the router by a signal; returns false if the signal could not be sent. */
  boolean suspend();

  /** Resumes a suspended router; returns false if the signal could not be sent. */
  boolean resume();

  /** Kills the planner; returns false if there is none. */
  default boolean killPlanner() {
    return false;
  }

  /** Starts the planner if the router has one that is not running. */
  default void startPlanner() throws IOException {}

  /** Suspends the planner by a signal; returns false if the signal could not be sent. */
  default boolean suspendPlanner() {
    return false;
  }

  /** Resumes a suspended planner; returns false if the signal could not be sent. */
  default boolean resumePlanner() {
    return false;
  }

  /** Kills the planner, shuts the router down gracefully and waits until it has ended. */
  void stop();
}

package switchgap.server.gateway;

import java.util.Map;
import java.util.function.Consumer;
import switchgap.planner.LoadBacklog;
import switchgap.planner.PendingLoadQueue;
import switchgap.router.RouterCore;

/**
 * Sends the planner the backlog of load commands that wait for its plans: one backlog for all that
 * changes in a tick. Belongs to the event loop.
 */
final class BacklogPublisher {
  /** Sends a backlog to the planner. */
  interface Sender {
    /** Returns false where it was not sent. */
    boolean send(LoadBacklog backlog);
  }

  private final PendingLoadQueue queue;
  private final DelayedLoads delayed;
  private final Consumer<Consumer<RouterCore>> events;
  private Sender sender = backlog -> false;
  private long lastSequence;
  private boolean scheduled;

  /**
   * Creates a publisher that sends nothing yet.
   *
   * @param queue the loads that the planner decides on
   * @param delayed their commands
   * @param events runs an event on the event loop
   */
  BacklogPublisher(
      PendingLoadQueue queue, DelayedLoads delayed, Consumer<Consumer<RouterCore>> events) {
    this.queue = queue;
    this.delayed = delayed;
    this.events = events;
  }

  void setSender(Sender next) {
    sender = next;
  }

  /** Sends the whole backlog to a planner that has just connected. */
  void plannerConnected(RouterCore core) {
    lastSequence = 0;
    publish(core);
  }

  /** The backlog has changed: schedules one that covers all changes of this tick. */
  void backlogChanged() {
    if (!scheduled && queue.state() != PendingLoadQueue.State.ALONE) {
      scheduled = true;
      events.accept(this::publish);
    }
  }

  private void publish(RouterCore core) {
    scheduled = false;
    if (queue.state() == PendingLoadQueue.State.ALONE) {
      return;
    }
    Map<String, Double> weights =
        delayed.isEmpty() ? Map.of() : core.queuedWeightByFunction(); // costly
    lastSequence++;
    sender.send(
        new LoadBacklog(
            queue.epoch(),
            lastSequence,
            queue.waiting(core.now(), function -> weights.getOrDefault(function, 0.0))));
  }
}

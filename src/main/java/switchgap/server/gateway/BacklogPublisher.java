package switchgap.server.gateway;

import java.util.Map;
import java.util.function.Consumer;
import switchgap.planner.LoadBacklog;
import switchgap.planner.PendingLoadQueue;
import switchgap.router.RouterCore;

/**
 * Sends the planner the backlog of load commands that wait for its plans, at most once per tick.
 * Confined to the event loop.
 */
final class BacklogPublisher {
  /** Sends a backlog to the planner. */
  interface Sender {
    /** Returns false if the backlog was not sent. */
    boolean send(LoadBacklog backlog);
  }

  private final PendingLoadQueue queue;
  private final DelayedLoads delayedLoads;
  private final Consumer<Consumer<RouterCore>> eventLoop;
  private Sender sender = backlog -> false;
  private long lastSequence;
  private boolean publishScheduled;

  /**
   * Creates a publisher without a sender; backlogs are discarded until {@link #setSender} is
   * called.
   *
   * @param queue the loads whose order the planner decides
   * @param delayedLoads the commands of these loads
   * @param eventLoop posts an event to the event loop
   */
  BacklogPublisher(
      PendingLoadQueue queue, DelayedLoads delayedLoads, Consumer<Consumer<RouterCore>> eventLoop) {
    this.queue = queue;
    this.delayedLoads = delayedLoads;
    this.eventLoop = eventLoop;
  }

  void setSender(Sender newSender) {
    sender = newSender;
  }

  /** Sends the whole backlog to a planner that has just connected. */
  void plannerConnected(RouterCore core) {
    lastSequence = 0;
    publish(core);
  }

  /** Schedules the next backlog, which covers all changes of this tick. */
  void backlogChanged() {
    if (!publishScheduled && queue.state() != PendingLoadQueue.State.ALONE) {
      publishScheduled = true;
      eventLoop.accept(this::publish);
    }
  }

  private void publish(RouterCore core) {
    publishScheduled = false;
    if (queue.state() == PendingLoadQueue.State.ALONE) {
      return;
    }
    // Computed only if a load waits, since it iterates over all pending requests.
    Map<String, Double> weights = delayedLoads.isEmpty() ? Map.of() : core.queuedWeightByFunction();
    lastSequence++;
    sender.send(
        new LoadBacklog(
            queue.epoch(),
            lastSequence,
            queue.pendingLoads(core.now(), function -> weights.getOrDefault(function, 0.0))));
  }
}

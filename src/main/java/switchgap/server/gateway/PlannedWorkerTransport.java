package switchgap.server.gateway;

import java.time.Duration;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import switchgap.config.FunctionSettings;
import switchgap.config.YamlRouterSettings;
import switchgap.planner.LoadPlan;
import switchgap.planner.LoadPlanCounts;
import switchgap.planner.PendingLoad;
import switchgap.planner.PendingLoadQueue;
import switchgap.planner.PlanRejection;
import switchgap.router.RouterCore;
import switchgap.router.WorkerCommand;
import switchgap.router.WorkerEntry;
import switchgap.router.WorkerTransport;

/**
 * Delays load commands until a plan of the planner names them or they time out; forwards all other
 * calls immediately. Confined to the event loop.
 */
final class PlannedWorkerTransport extends ForwardingWorkerTransport {
  private static final Logger LOG = LoggerFactory.getLogger(PlannedWorkerTransport.class);
  private static final int MAX_PENDING_LOADS = 1024;
  private static final long NANOS_PER_MICRO = 1000;

  /** Sends the loads that the queue releases. */
  private final class QueueListener implements PendingLoadQueue.Listener {
    @Override
    public void release(long id) {
      sendDelayed(delayedLoads.remove(id));
    }

    @Override
    public void planRejected(PlanRejection rejection) {
      LOG.warn("rejected a plan or a part of it from the planner: {}", rejection.detail());
    }
  }

  private final YamlRouterSettings settings;
  private final Consumer<Consumer<RouterCore>> eventLoop;
  private final PendingLoadQueue queue;
  private final DelayedLoads delayedLoads = new DelayedLoads();
  private final BacklogPublisher publisher;
  private boolean tickScheduled;

  /**
   * Creates the transport. Load commands are sent immediately until a planner is connected.
   *
   * @param planTimeout time after which a load command is sent without a plan
   * @param eventLoop posts an event to the event loop
   */
  PlannedWorkerTransport(
      WorkerTransport delegate,
      YamlRouterSettings settings,
      Duration planTimeout,
      Consumer<Consumer<RouterCore>> eventLoop) {
    super(delegate);
    this.settings = settings;
    this.eventLoop = eventLoop;
    this.queue = new PendingLoadQueue(planTimeout, MAX_PENDING_LOADS, new QueueListener());
    this.publisher = new BacklogPublisher(queue, delayedLoads, eventLoop);
  }

  void setBacklogSender(BacklogPublisher.Sender sender) {
    publisher.setSender(sender);
  }

  /** Called when a planner has connected; its plans must name this epoch. */
  void plannerConnected(RouterCore core, long epoch) {
    queue.plannerConnected(epoch);
    publisher.plannerConnected(core);
  }

  /**
   * Called when the planner of this epoch has disconnected; a later one may be connected by then.
   */
  void plannerDisconnected(long epoch) {
    if (queue.epoch() == epoch) {
      queue.plannerDisconnected();
    }
  }

  /**
   * Sends the load commands that a plan names. No backlog is sent in response: load commands that
   * the plan does not name are included in the backlog after the next load command, or are sent
   * when they time out.
   */
  void planReceived(LoadPlan plan) {
    queue.planReceived(plan);
  }

  /** Whether a planner currently decides when load commands are sent. */
  PendingLoadQueue.State state() {
    return queue.state();
  }

  /** The epoch of the last planner connection, 0 before the first. */
  long epoch() {
    return queue.epoch();
  }

  /** Number of load commands that currently wait for a plan. */
  int pendingLoads() {
    return delayedLoads.size();
  }

  /** Counts of load commands and parts of plans since the start. */
  LoadPlanCounts counts() {
    return queue.counts();
  }

  @Override
  public void requestReplicas(
      WorkerEntry worker, String function, int replicas, WorkerCommand command) {
    if (replicas == 0) {
      // It only queries the loaded replicas, which needs no plan.
      super.requestReplicas(worker, function, replicas, command);
      return;
    }
    long id = queue.nextId();
    delayedLoads.add(id, new DelayedLoads.DelayedLoad(worker, function, replicas, command));
    queue.add(command.sentAt(), pendingLoad(id, worker, function));
    publisher.backlogChanged();
    if (!tickScheduled && delayedLoads.contains(id)) {
      tickScheduled = true;
      eventLoop.accept(this::tick);
    }
  }

  private PendingLoad pendingLoad(long id, WorkerEntry worker, String function) {
    FunctionSettings functionSettings = settings.function(function);
    double memoryMb = functionSettings == null ? 0 : functionSettings.memoryMb();
    long loadMicros =
        functionSettings == null || functionSettings.loadTime() == null
            ? 0
            : functionSettings.loadTime().toNanos() / NANOS_PER_MICRO;
    return new PendingLoad(id, worker.name(), function, memoryMb, loadMicros, 0, 0);
  }

  /** Sends loads that have timed out, and schedules the next call while any load waits. */
  private void tick(RouterCore core) {
    Duration nextTimeout = queue.releaseTimedOut(core.now());
    tickScheduled = nextTimeout != null;
    if (tickScheduled) {
      core.schedule(nextTimeout, () -> tick(core));
    }
  }

  /** If the worker has started to drain in the meantime, the delegate rejects the load. */
  private void sendDelayed(DelayedLoads.DelayedLoad load) {
    super.requestReplicas(load.worker(), load.function(), load.replicas(), load.command());
  }

  @Override
  public void abandon(WorkerCommand command) {
    Long id = delayedLoads.idOf(command);
    if (id != null && queue.withdraw(id)) {
      delayedLoads.remove(id);
    } else {
      super.abandon(command);
    }
  }
}

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
 * Delays load commands until the planner's plan names them or they time out; forwards all else at
 * once. Belongs to the event loop.
 */
final class PlannedWorkerTransport extends ForwardingWorkerTransport {
  private static final Logger LOG = LoggerFactory.getLogger(PlannedWorkerTransport.class);
  private static final int MAX_PENDING_LOADS = 1024;
  private static final long NANOS_PER_MICRO = 1000;

  /** Carries out what the queue decides. */
  private final class QueueListener implements PendingLoadQueue.Listener {
    @Override
    public void release(long id) {
      sendDelayed(delayed.remove(id));
    }

    @Override
    public void planRejected(PlanRejection rejection) {
      LOG.warn("the planner is wrong: {}", rejection.detail());
    }
  }

  private final YamlRouterSettings settings;
  private final Consumer<Consumer<RouterCore>> events;
  private final PendingLoadQueue queue;
  private final DelayedLoads delayed = new DelayedLoads();
  private final BacklogPublisher publisher;
  private boolean ticking;

  /**
   * Creates the transport; it is not connected to a planner yet, so load commands are sent at once.
   *
   * @param planTimeout time after which a load command is sent without a plan
   * @param events runs an event on the event loop
   */
  PlannedWorkerTransport(
      WorkerTransport delegate,
      YamlRouterSettings settings,
      Duration planTimeout,
      Consumer<Consumer<RouterCore>> events) {
    super(delegate);
    this.settings = settings;
    this.events = events;
    this.queue = new PendingLoadQueue(planTimeout, MAX_PENDING_LOADS, new QueueListener());
    this.publisher = new BacklogPublisher(queue, delayed, events);
  }

  void setBacklogSender(BacklogPublisher.Sender sender) {
    publisher.setSender(sender);
  }

  /** A planner is connected; plans must name this epoch. */
  void plannerConnected(RouterCore core, long epoch) {
    queue.connected(epoch);
    publisher.plannerConnected(core);
  }

  /** The planner of this epoch is gone; that of a later one may be connected already. */
  void plannerDisconnected(long epoch) {
    if (queue.epoch() == epoch) {
      queue.disconnected();
    }
  }

  /**
   * Carries out a plan. No backlog is sent in response: what a plan left waiting is reported with
   * the next load command, or is sent when it times out.
   */
  void planReceived(LoadPlan plan) {
    queue.planReceived(plan);
  }

  /** Whether a planner decides when load commands are sent. */
  PendingLoadQueue.State state() {
    return queue.state();
  }

  /** The epoch of the last connection of a planner, 0 before the first. */
  long epoch() {
    return queue.epoch();
  }

  /** Load commands that wait for a plan now. */
  int pendingLoads() {
    return delayed.size();
  }

  /** Load commands and parts of plans so far. */
  LoadPlanCounts counts() {
    return queue.counts();
  }

  @Override
  public void requestReplicas(
      WorkerEntry worker, String function, int replicas, WorkerCommand command) {
    if (replicas == 0) { // a query, no load
      super.requestReplicas(worker, function, replicas, command);
      return;
    }
    long id = queue.nextId();
    delayed.add(id, new DelayedLoads.DelayedLoad(worker, function, replicas, command));
    queue.add(command.sentAt(), pendingLoad(id, worker, function));
    publisher.backlogChanged();
    if (!ticking && delayed.contains(id)) {
      ticking = true;
      events.accept(this::tick);
    }
  }

  private PendingLoad pendingLoad(long id, WorkerEntry worker, String function) {
    FunctionSettings known = settings.function(function);
    double memoryMb = known == null ? 0 : known.memoryMb();
    long loadMicros =
        known == null || known.loadTime() == null
            ? 0
            : known.loadTime().toNanos() / NANOS_PER_MICRO;
    return new PendingLoad(id, worker.name(), function, memoryMb, loadMicros, 0, 0);
  }

  /** Sends loads that have timed out; schedules itself while any load waits. */
  private void tick(RouterCore core) {
    Duration next = queue.tick(core.now());
    ticking = next != null;
    if (ticking) {
      core.schedule(next, () -> tick(core));
    }
  }

  /** The delegate itself rejects a load for a worker that has begun to drain meanwhile. */
  private void sendDelayed(DelayedLoads.DelayedLoad load) {
    super.requestReplicas(load.worker(), load.function(), load.replicas(), load.command());
  }

  @Override
  public void abandon(WorkerCommand command) {
    Long id = delayed.idOf(command);
    if (id != null && queue.withdraw(id)) {
      delayed.remove(id);
    } else {
      super.abandon(command);
    }
  }
}

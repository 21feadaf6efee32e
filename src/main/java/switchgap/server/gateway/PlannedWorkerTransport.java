package switchgap.server.gateway;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import switchgap.config.FunctionSettings;
import switchgap.config.YamlRouterSettings;
import switchgap.planner.LoadBacklog;
import switchgap.planner.LoadPlan;
import switchgap.planner.LoadPlanCounts;
import switchgap.planner.PendingLoad;
import switchgap.planner.PendingLoadQueue;
import switchgap.planner.PlanRejection;
import switchgap.policy.api.AttemptOutcome;
import switchgap.router.Attempt;
import switchgap.router.RouterCore;
import switchgap.router.WorkerCommand;
import switchgap.router.WorkerEntry;
import switchgap.router.WorkerTransport;

/**
 * Load commands wait here for the planner's plan before they are sent; all else goes straight to
 * the workers. Belongs to the event loop.
 */
final class PlannedWorkerTransport implements WorkerTransport {
  private static final Logger LOG = LoggerFactory.getLogger(PlannedWorkerTransport.class);
  private static final int MAX_PENDING_LOADS = 1024;
  private static final long NANOS_PER_MICRO = 1000;

  /** The arguments of a load command that waits. */
  private record DelayedLoad(
      WorkerEntry worker, String function, int replicas, WorkerCommand command) {}

  /** Sends the backlog to the planner. */
  interface BacklogSender {
    /** False where it was not sent. */
    boolean send(LoadBacklog backlog);
  }

  /** Carries out what the queue decides. */
  private final class QueueListener implements PendingLoadQueue.Listener {
    @Override
    public void release(long id) {
      sendDelayed(id);
    }

    @Override
    public void planRejected(PlanRejection rejection) {
      LOG.warn("the planner is wrong: {}", rejection);
    }
  }

  private final WorkerTransport delegate;
  private final YamlRouterSettings settings;
  private final Consumer<Consumer<RouterCore>> events;
  private final PendingLoadQueue queue;
  private final Map<Long, DelayedLoad> delayed = new HashMap<>();
  private final Map<WorkerCommand, Long> idsByCommand = new HashMap<>();
  private BacklogSender backlogSender = backlog -> false;
  private Duration now = Duration.ZERO;
  private long lastSequence;
  private boolean backlogScheduled;
  private boolean ticking;

  /**
   * Creates the transport; it is not connected to a planner yet, so load commands go out at once.
   *
   * @param patience for how long a load command waits for a plan
   * @param events runs an event on the event loop
   */
  PlannedWorkerTransport(
      WorkerTransport delegate,
      YamlRouterSettings settings,
      Duration patience,
      Consumer<Consumer<RouterCore>> events) {
    this.delegate = delegate;
    this.settings = settings;
    this.events = events;
    this.queue = new PendingLoadQueue(patience, MAX_PENDING_LOADS, new QueueListener());
  }

  // ------------------------------------------------------------------ the planner's side

  void setBacklogSender(BacklogSender sender) {
    backlogSender = sender;
  }

  /** A planner is connected; plans must name this epoch. */
  void plannerConnected(RouterCore core, long epoch) {
    now = core.now();
    lastSequence = 0;
    queue.connected(epoch);
    sendBacklog(core);
  }

  /** The planner of this epoch is gone; that of a later one may be connected already. */
  void plannerDisconnected(RouterCore core, long epoch) {
    now = core.now();
    if (queue.epoch() == epoch) {
      queue.disconnected();
    }
  }

  /**
   * Takes in a plan. No backlog is sent in response: what a plan left waiting is reported with the
   * next load command, or is sent when its patience is over.
   */
  void planReceived(RouterCore core, LoadPlan plan) {
    now = core.now();
    queue.planReceived(plan);
  }

  PendingLoadQueue.State state() {
    return queue.state();
  }

  long epoch() {
    return queue.epoch();
  }

  /** Load commands that wait now. */
  int pendingLoads() {
    return delayed.size();
  }

  LoadPlanCounts counts() {
    return queue.counts();
  }

  private void sendBacklog(RouterCore core) {
    backlogScheduled = false;
    now = core.now();
    if (queue.state() == PendingLoadQueue.State.ALONE) {
      return;
    }
    Map<String, Double> weights =
        delayed.isEmpty() ? Map.of() : core.queuedWeightByFunction(); // costly
    lastSequence++;
    backlogSender.send(
        new LoadBacklog(
            queue.epoch(),
            lastSequence,
            queue.waiting(now, function -> weights.getOrDefault(function, 0.0))));
  }

  /** Sends one backlog for all that happens in this tick. */
  private void scheduleBacklog() {
    if (!backlogScheduled && queue.state() != PendingLoadQueue.State.ALONE) {
      backlogScheduled = true;
      events.accept(this::sendBacklog);
    }
  }

  /** Lets the queue send what has waited too long, as often as something waits. */
  private void tick(RouterCore core) {
    now = core.now();
    Duration next = queue.tick(now);
    ticking = next != null;
    if (ticking) {
      core.schedule(next, () -> tick(core));
    }
  }

  // ------------------------------------------------------------------ the core's side

  @Override
  public void requestReplicas(
      WorkerEntry worker, String function, int replicas, WorkerCommand command) {
    if (replicas == 0) { // a query, no load
      delegate.requestReplicas(worker, function, replicas, command);
      return;
    }
    long id = queue.nextId();
    delayed.put(id, new DelayedLoad(worker, function, replicas, command));
    idsByCommand.put(command, id);
    now = command.sentAt();
    queue.add(now, pendingLoad(id, worker, function));
    scheduleBacklog();
    if (!ticking && delayed.containsKey(id)) {
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

  /** The delegate itself refuses a worker that has begun to drain meanwhile. */
  private void sendDelayed(long id) {
    DelayedLoad load = delayed.remove(id);
    idsByCommand.remove(load.command);
    delegate.requestReplicas(load.worker, load.function, load.replicas, load.command);
  }

  @Override
  public void abandon(WorkerCommand command) {
    Long id = idsByCommand.remove(command);
    if (id != null && queue.withdraw(id)) {
      delayed.remove(id);
    } else {
      delegate.abandon(command);
    }
  }

  @Override
  public void startAttempt(Attempt attempt, Duration timeout) {
    delegate.startAttempt(attempt, timeout);
  }

  @Override
  public AttemptOutcome abandon(Attempt attempt) {
    return delegate.abandon(attempt);
  }

  @Override
  public void unload(WorkerEntry worker, String function, WorkerCommand command) {
    delegate.unload(worker, function, command);
  }

  @Override
  public void stopAccepting(WorkerEntry worker, boolean forGood) {
    delegate.stopAccepting(worker, forGood);
  }

  @Override
  public void probe(WorkerEntry worker, WorkerCommand command) {
    delegate.probe(worker, command);
  }

  @Override
  public void requestEndpointList() {
    delegate.requestEndpointList();
  }
}

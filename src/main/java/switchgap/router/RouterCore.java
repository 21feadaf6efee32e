package switchgap.router;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import switchgap.policy.RoutingPolicy;
import switchgap.policy.api.AttemptOutcome;
import switchgap.policy.api.EventBatch;
import switchgap.policy.api.LoadReport;
import switchgap.policy.api.PolicyActions;
import switchgap.policy.api.RouterSettings;

/**
 * The core of one router, which executes the decisions of one policy. The owner calls {@link #tick}
 * from a single thread, the event loop, with the events since the last tick; the event methods may
 * be called by these events only. The policy makes all decisions. The core executes them and
 * guarantees at most one response per request, no response after the deadline, and exactly one end
 * per attempt.
 */
public final class RouterCore {
  /**
   * Makes the decisions. Implemented by the routing policy, and by baseline policies for
   * comparison.
   */
  public interface Policy {
    /** Consumes the events since the last tick and issues decisions as calls of {@code actions}. */
    void tick(Duration now, EventBatch events, PolicyActions actions);
  }

  private final Policy policy;
  private final CoreContext context = new CoreContext();
  private final EndpointTable endpoints;
  private final RequestLifecycle requests;
  private final AttemptLifecycle attempts;
  private final WorkerCommandLifecycle commands;
  private final PolicyActions actions;

  /**
   * Creates a core with the routing policy. The policy's random numbers depend on the seed only.
   */
  public RouterCore(
      RouterSettings settings, long seed, WorkerTransport transport, CoreLimits limits) {
    this(settings, new RoutingPolicy(settings, seed)::tick, transport, limits);
  }

  /** Creates a core with any policy. */
  public RouterCore(
      RouterSettings settings, Policy policy, WorkerTransport transport, CoreLimits limits) {
    this.policy = policy;
    NameIndex functions = new NameIndex();
    endpoints = new EndpointTable(transport);
    requests = new RequestLifecycle(context, settings, functions, limits.maxFunctions());
    attempts = new AttemptLifecycle(context, transport, requests);
    commands = new WorkerCommandLifecycle(context, transport, endpoints, functions, limits);
    actions =
        new ActionExecutor(context, transport, requests, attempts, commands, endpoints, functions);
  }

  // ------------------------------------------------------------------ methods for the owner

  /**
   * Runs one tick: processes the events, then the due timers, then the policy's decisions. {@code
   * time} is measured from the router's start.
   */
  public void tick(Duration time, Iterable<Consumer<RouterCore>> events) {
    context.startTick(time);
    policy.tick(
        time,
        policyEvents -> {
          context.openEvents(policyEvents);
          context.reportTimerDelay();
          events.forEach(event -> event.accept(this));
          context.timers().runDue(time);
          context.closeEvents();
        },
        actions);
  }

  /**
   * The time at which the next tick is due if no event arrives, since the router's start; null if
   * no timer is scheduled.
   */
  public Duration nextDue() {
    return context.timers().nextDue();
  }

  /**
   * Records that the timers of the last tick were handled later than they were due, by this delay.
   * The policy is notified in the next tick.
   */
  public void timersDelayed(Duration delay) {
    context.recordTimerDelay(delay);
  }

  /** The time of the current or last tick, since the router's start. */
  public Duration now() {
    return context.now();
  }

  /**
   * Schedules a task for the first tick at or after {@code due}, measured from the router's start.
   */
  public void schedule(Duration due, Runnable task) {
    context.timers().schedule(due, task);
  }

  /** Replaces the observer. */
  public void observe(RequestObserver observer) {
    context.observe(observer);
  }

  /** The number of accepted requests that have not reached a final state. */
  public int pendingRequests() {
    return requests.pendingCount();
  }

  /**
   * The number of requests that the policy tracks: pending or with attempts in flight. Zero when no
   * request is in progress.
   */
  public int trackedRequests() {
    return requests.trackedCount();
  }

  /** Total priority weight of the pending requests without an attempt in flight, by function. */
  public Map<String, Double> queuedWeightByFunction() {
    return requests.queuedWeightByFunction();
  }

  // ------------------------------------------------------------------ event methods

  /**
   * A request arrived. Returns true if it is accepted; its listener is then notified once when it
   * ends, unless the client cancels it. Returns false if its deadline has passed or the limit of
   * functions is reached.
   */
  public boolean accept(PendingRequest request) {
    return requests.accept(request);
  }

  /** A client disconnected or cancelled its request. No effect if the request has ended. */
  public void requestCancelled(PendingRequest request) {
    requests.cancel(request);
  }

  /**
   * An attempt ended. Only the first call for an attempt has an effect; later calls are late
   * responses and are discarded. A response after the deadline, for example because the process was
   * paused, is passed to {@link ResponseListener#deadlineMissed}, because most protocols send
   * nothing after the deadline.
   *
   * @param report the worker's load, or {@link LoadReport#NONE}
   * @param response the worker's response if the attempt succeeded, otherwise null
   */
  public void attemptEnded(
      Attempt attempt, AttemptOutcome outcome, LoadReport report, Response response) {
    attempts.ended(attempt, outcome, report, response);
  }

  /**
   * A load command or a replica query ended; {@code loadedReplicas} is the number of replicas that
   * are loaded now.
   */
  public void loadCommandEnded(WorkerCommand command, AttemptOutcome outcome, int loadedReplicas) {
    commands.loadEnded(command, outcome, loadedReplicas);
  }

  /** An unload ended; its outcome does not matter. */
  public void unloadEnded(WorkerCommand command) {
    commands.unloadEnded(command);
  }

  /** A load probe ended. */
  public void probeEnded(WorkerCommand command, AttemptOutcome outcome, LoadReport report) {
    commands.probeEnded(command, outcome, report);
  }

  /**
   * A version of the endpoint list was received, complete or as changes to the previous version.
   */
  public void endpointListReceived(boolean complete, List<EndpointUpdate> updates) {
    endpoints.update(complete, updates, context.now(), context.policyEvents());
  }

  /**
   * Sets the time, since the router's start, until which the endpoint list is confirmed to be
   * complete. After this time, the platform may treat changes as delivered although this router has
   * not received them. {@link Duration#ZERO} if the list is not confirmed now.
   */
  public void endpointListConfirmedUntil(Duration time) {
    context.policyEvents().endpointListConfirmedUntil(time);
  }

  /**
   * A connection to a worker was opened after the worker had refused one or closed all its
   * connections.
   */
  public void workerReconnected(WorkerEntry worker) {
    if (endpoints.isTracked(worker)) {
      context.observer().workerReconnected(worker);
      context.policyEvents().workerReconnected(worker.index());
    }
  }

  /** A request for the endpoint list failed; the last received list remains in effect. */
  public void endpointListFailed() {
    context.policyEvents().endpointListFailed();
  }
}

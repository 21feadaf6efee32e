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
 * One router under one policy. Its owner calls {@link #tick} from one thread, the event loop, with
 * the events since the last tick; the event methods below are to be called by those events only.
 * The policy makes all decisions; the core carries them out and guarantees one response a request,
 * none past its deadline, and one end an attempt.
 */
public final class RouterCore {
  /** Makes the decisions: the routing policy, or in measurements a baseline. */
  public interface Policy {
    /** Takes in the events since the last tick and decides, through the actions. */
    void tick(Duration now, EventBatch events, PolicyActions actions);
  }

  private final Policy policy;
  private final CoreContext context = new CoreContext();
  private final EndpointTable endpoints;
  private final RequestLifecycle requests;
  private final AttemptLifecycle attempts;
  private final WorkerCommandLifecycle commands;
  private final PolicyActions actions;

  /** A core under the routing policy; its random draws come from the seed alone. */
  public RouterCore(
      RouterSettings settings, long seed, WorkerTransport transport, CoreLimits limits) {
    this(settings, new RoutingPolicy(settings, seed)::tick, transport, limits);
  }

  /** A core under any policy. */
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

  // ------------------------------------------------------------------ the owner's side

  /** One tick of the policy at a time since the router's start: new events, then timers due. */
  public void tick(Duration time, Iterable<Consumer<RouterCore>> events) {
    context.tickStarted(time);
    policy.tick(
        time,
        policyEvents -> {
          context.eventsOpened(policyEvents);
          events.forEach(event -> event.accept(this));
          context.timers().runDue(time);
          context.eventsClosed();
        },
        actions);
  }

  /** When the next tick is due without an event, since the router's start; null for never. */
  public Duration nextDue() {
    return context.timers().nextDue();
  }

  /** Time of the current or last tick, since the router's start. */
  public Duration now() {
    return context.now();
  }

  /** Runs a task in the first tick at this time or later. */
  public void schedule(Duration due, Runnable task) {
    context.timers().schedule(due, task);
  }

  /** Notifies an observer from now on, in place of the last one. */
  public void observe(RequestObserver observer) {
    context.observe(observer);
  }

  /** Requests accepted and without their final state. */
  public int pendingRequests() {
    return requests.pending();
  }

  /**
   * Requests that the policy knows, pending or with attempts in flight; zero once all have ended.
   */
  public int unsettledRequests() {
    return requests.unsettled();
  }

  /** Priority weight of the pending requests that are at no worker, by function. */
  public Map<String, Double> queuedWeightByFunction() {
    return requests.queuedWeightByFunction();
  }

  // ------------------------------------------------------------------ events

  /**
   * A request arrived. Returns whether it is accepted and so gets one final response; false where
   * its deadline has passed or too many functions are known.
   */
  public boolean accept(PendingRequest request) {
    return requests.accept(request);
  }

  /** A request's client disconnected or cancelled it; without effect once it has ended. */
  public void requestCancelled(PendingRequest request) {
    requests.cancel(request);
  }

  /**
   * An attempt ended. The first end counts; a later one is a late response, which is discarded. A
   * response after the deadline (the process paused) is passed to {@link
   * ResponseListener#deadlineMissed}, as most protocols send nothing then.
   *
   * @param report the worker's load, {@link LoadReport#NONE} where it reported none
   * @param response the worker's response where it succeeded, else null
   */
  public void attemptEnded(
      Attempt attempt, AttemptOutcome outcome, LoadReport report, Response response) {
    attempts.ended(attempt, outcome, report, response);
  }

  /** A load command or a query ended; {@code loadedReplicas} are loaded now. */
  public void loadCommandEnded(WorkerCommand command, AttemptOutcome outcome, int loadedReplicas) {
    commands.loadEnded(command, outcome, loadedReplicas);
  }

  /** An unload ended, with any outcome. */
  public void unloadEnded(WorkerCommand command) {
    commands.unloadEnded(command);
  }

  /** A load probe ended. */
  public void probeEnded(WorkerCommand command, AttemptOutcome outcome, LoadReport report) {
    commands.probeEnded(command, outcome, report);
  }

  /** A version of the endpoint list was received, complete or as its changes. */
  public void endpointListReceived(boolean complete, List<EndpointUpdate> updates) {
    endpoints.update(complete, updates, context.now(), context.policyEvents());
  }

  /**
   * The endpoint list is confirmed until a time since the router's start: from then on changes may
   * count as notified that have not been received. {@link Duration#ZERO} where it is not now.
   */
  public void endpointListConfirmedUntil(Duration time) {
    context.policyEvents().endpointListConfirmedUntil(time);
  }

  /**
   * A connection to a worker was opened after the worker had refused one, or had ended all that
   * were open.
   */
  public void workerReconnected(WorkerEntry worker) {
    if (endpoints.isKnown(worker)) {
      context.observer().workerReconnected(worker);
      context.policyEvents().workerReconnected(worker.index());
    }
  }

  /** A poll of the endpoint list failed; the last one stays in force. */
  public void endpointListFailed() {
    context.policyEvents().endpointListFailed();
  }
}

package switchgap.router;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import switchgap.policy.RoutingPolicy;
import switchgap.policy.api.AttemptOutcome;
import switchgap.policy.api.AttemptResult;
import switchgap.policy.api.EventBatch;
import switchgap.policy.api.LoadCommandResult;
import switchgap.policy.api.LoadReport;
import switchgap.policy.api.PolicyActions;
import switchgap.policy.api.PolicyEvents;
import switchgap.policy.api.ProbeResult;
import switchgap.policy.api.RequestArrival;
import switchgap.policy.api.RouterSettings;

/**
 * One router under one policy. Its owner calls {@link #tick} from one thread with the events since
 * the last one; the event methods below are for those events only. It decides nothing that the
 * policy decides; it keeps what is mechanical about the rules: one response a request, none past
 * its deadline, one end an attempt.
 */
public final class RouterCore {
  private final RouterSettings settings;
  private final Policy policy;
  private final int maxFunctions;
  private final TimerQueue timers = new TimerQueue();
  private final NameIndex functions = new NameIndex();
  private final EndpointTable endpoints;
  private final PendingRequestTable requests = new PendingRequestTable();
  private final PolicyActions actions;
  private Duration now = Duration.ZERO;
  private PolicyEvents policyEvents; // while a tick's events are being told
  private RequestObserver observer = (request, response) -> {};

  /** What decides: the routing policy, or in measurements a baseline. */
  public interface Policy {
    /** Takes in the events since the last tick and decides. */
    void tick(Duration now, EventBatch events, PolicyActions actions);
  }

  /** Is told of each accepted request how it ended. */
  public interface RequestObserver {
    /** A request ended with its response, null where it got none. */
    void requestEnded(PendingRequest request, Response response);

    /** An attempt ended. */
    default void attemptEnded(Attempt attempt, AttemptOutcome outcome) {}

    /** What a worker reported with an attempt's end. */
    default void workerReported(LoadReport report) {}
  }

  /** A core under the routing policy; its random draws come from the seed alone. */
  public RouterCore(
      RouterSettings settings, long seed, WorkerTransport transport, CoreLimits limits) {
    this(settings, new RoutingPolicy(settings, seed)::tick, transport, limits);
  }

  /** A core under any policy. */
  public RouterCore(
      RouterSettings settings, Policy policy, WorkerTransport transport, CoreLimits limits) {
    this.settings = settings;
    this.policy = policy;
    this.maxFunctions = limits.maxFunctions();
    this.endpoints = new EndpointTable(transport);
    this.actions = new ActionExecutor(this, transport, limits);
  }

  /** Has an observer told from now on; there is one at a time. */
  public void observe(RequestObserver to) {
    observer = to;
  }

  /** Time of the tick, since the router's start. */
  public Duration now() {
    return now;
  }

  /** Runs within a tick at that time or soon after. */
  public void schedule(Duration due, Runnable task) {
    timers.schedule(due, task);
  }

  /** One tick of the policy with all that came in, and what is due. */
  public void tick(Duration at, Iterable<Consumer<RouterCore>> events) {
    now = at;
    policy.tick(
        at,
        to -> {
          policyEvents = to;
          events.forEach(event -> event.accept(this));
          timers.runDue(at);
          policyEvents = null;
        },
        actions);
  }

  /** When the next tick is due without an event, or null. */
  public Duration nextDue() {
    return timers.nextDue();
  }

  /** Requests accepted and without their response. */
  public int pendingRequests() {
    return requests.pending();
  }

  /**
   * What must be none once all is over: requests known to the policy, with or without attempts in
   * flight.
   */
  public int unsettledRequests() {
    return requests.unsettled();
  }

  /** Weight of the pending requests that are at no worker, by function. */
  public Map<String, Double> queuedWeightByFunction() {
    return requests.queuedWeightByFunction(
        request -> settings.priorityWeight(request.requestClass()));
  }

  // ------------------------------------------------------------------ events

  /**
   * A request came. Accepted: it gets one final response. Not accepted (false): its deadline has
   * passed, or too many functions are known.
   */
  public boolean accept(PendingRequest request) {
    boolean tooManyFunctions =
        functions.find(request.function()) < 0 && functions.size() >= maxFunctions;
    if (request.deadline().compareTo(now) <= 0 || tooManyFunctions) {
      request.end(PendingRequest.State.NOT_ACCEPTED);
      return false;
    }
    requests.add(request);
    request.accept(now);
    int tenant =
        request.tenant() == PendingRequest.NO_TENANT ? settings.tenantCount() : request.tenant();
    policyEvents.requestArrived(
        new RequestArrival(
            request.index(),
            request.requestClass(),
            tenant,
            functions.allocate(request.function()),
            NameIndex.hash(request.function()),
            request.deadline(),
            request.durationHint(),
            request.memoryMb(),
            request.slots()));
    return true;
  }

  /** The client hung up or cancelled. */
  public void requestCancelled(PendingRequest request) {
    if (!request.isPending()) {
      return;
    }
    if (!request.hasIndex()) { // was not offered to the policy yet
      request.end(PendingRequest.State.CANCELLED);
      return;
    }
    requests.end(request, PendingRequest.State.CANCELLED);
    observer.requestEnded(request, null);
    policyEvents.clientLeft(request.index());
  }

  /**
   * An attempt ended; the first end counts, a later one is a late response and reaches nobody. A
   * response that comes when the deadline has passed (a pause) is told as such: most protocols send
   * nothing after a deadline.
   */
  public void attemptEnded(
      Attempt attempt, AttemptOutcome outcome, LoadReport report, Response response) {
    if (attempt.hasEnded()) {
      return;
    }
    attempt.end(outcome);
    observer.attemptEnded(attempt, outcome);
    timers.cancel(attempt.timeout());
    observer.workerReported(report);
    PendingRequest request = attempt.request();
    if (outcome == AttemptOutcome.SUCCEEDED) {
      respond(request, response);
    }
    boolean closed = !request.isPending();
    policyEvents.attemptEnded(
        new AttemptResult(
            request.index(),
            attempt.number(),
            attempt.worker().index(),
            outcome,
            now.minus(attempt.sentAt()),
            closed,
            report));
  }

  /** A load command or a query ended; {@code loadedReplicas} are there now. */
  public void loadCommandEnded(WorkerCommand command, AttemptOutcome outcome, int loadedReplicas) {
    if (endsFirst(command) && endpoints.isKnown(command.worker())) {
      policyEvents.loadCommandEnded(
          new LoadCommandResult(
              command.worker().index(),
              command.function(),
              outcome,
              now.minus(command.sentAt()),
              loadedReplicas));
    }
  }

  /** An unload ended, however it did. */
  public void unloadEnded(WorkerCommand command) {
    endsFirst(command);
  }

  /** A probe ended. */
  public void probeEnded(WorkerCommand command, AttemptOutcome outcome, LoadReport report) {
    if (endsFirst(command) && endpoints.isKnown(command.worker())) {
      policyEvents.probeEnded(new ProbeResult(command.worker().index(), outcome, report));
    }
  }

  /** Whether this is a command's first end. */
  private boolean endsFirst(WorkerCommand command) {
    boolean first = command.end();
    timers.cancel(command.timeout());
    return first;
  }

  /** A version of the endpoint list came, complete or as its changes. */
  public void endpointListReceived(boolean complete, List<EndpointUpdate> updates) {
    endpoints.update(complete, updates, now, policyEvents);
  }

  /** A poll for the endpoint list failed; the last one stays in force. */
  public void endpointListFailed() {
    policyEvents.endpointListFailed();
  }

  // ------------------------------------------------------------------ for the actions

  /** Sends a final response, unless the request has its end. */
  void respond(PendingRequest request, Response response) {
    if (!request.isPending()) {
      return;
    }
    if (now.compareTo(request.deadline()) >= 0) { // paused past the deadline
      requests.end(request, PendingRequest.State.DEADLINE_EXCEEDED);
      observer.requestEnded(request, null);
      request.listener().deadlineMissed(request, response);
    } else {
      requests.end(request, PendingRequest.State.ANSWERED);
      observer.requestEnded(request, response);
      request.listener().responded(request, response);
    }
  }

  void wakeUpLater(Duration delay, long token) {
    timers.schedule(now.plus(delay), () -> policyEvents.wakeUp(token));
  }

  TimerQueue timers() {
    return timers;
  }

  NameIndex functions() {
    return functions;
  }

  EndpointTable endpoints() {
    return endpoints;
  }

  PendingRequestTable requests() {
    return requests;
  }
}

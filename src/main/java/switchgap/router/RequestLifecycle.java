package switchgap.router;

import java.util.Map;
import switchgap.policy.api.RequestArrival;
import switchgap.policy.api.RouterSettings;

/**
 * Requests from acceptance to their final state: one response each, and none past the deadline.
 * Belongs to the event loop.
 */
final class RequestLifecycle {
  private final CoreContext context;
  private final RouterSettings settings;
  private final NameIndex functions;
  private final int maxFunctions;
  private final PendingRequestTable requests = new PendingRequestTable();

  /**
   * Creates it without requests.
   *
   * @param functions indices of the functions that the policy knows
   * @param maxFunctions functions known at a time
   */
  RequestLifecycle(
      CoreContext context, RouterSettings settings, NameIndex functions, int maxFunctions) {
    this.context = context;
    this.settings = settings;
    this.functions = functions;
    this.maxFunctions = maxFunctions;
  }

  /** See {@link RouterCore#accept}. */
  boolean accept(PendingRequest request) {
    if (request.deadline().compareTo(context.now()) <= 0 || exceedsFunctions(request.function())) {
      request.end(PendingRequest.State.NOT_ACCEPTED);
      return false;
    }
    requests.add(request);
    request.accept(context.now());
    context.policyEvents().requestArrived(arrivalOf(request));
    return true;
  }

  private boolean exceedsFunctions(String function) {
    return functions.find(function) == NameIndex.NOT_FOUND && functions.size() >= maxFunctions;
  }

  private RequestArrival arrivalOf(PendingRequest request) {
    int tenant =
        request.tenant() == PendingRequest.NO_TENANT ? settings.tenantCount() : request.tenant();
    return new RequestArrival(
        request.index(),
        request.requestClass(),
        tenant,
        functions.allocate(request.function()),
        NameIndex.hash(request.function()),
        request.deadline(),
        request.durationHint(),
        request.memoryMb(),
        request.slots());
  }

  /** Its client disconnected or cancelled it; without effect where it has its final state. */
  void cancel(PendingRequest request) {
    if (!request.isPending()) {
      return;
    }
    if (!request.hasIndex()) { // cancelled before it was offered to the policy
      request.end(PendingRequest.State.CANCELLED);
      return;
    }
    requests.end(request, PendingRequest.State.CANCELLED);
    context.observer().requestEnded(request, null);
    context.policyEvents().clientDisconnected(request.index());
  }

  /** Sends the final response; without effect where the request has its final state. */
  void respond(PendingRequest request, Response response) {
    if (!request.isPending()) {
      return;
    }
    if (context.now().compareTo(request.deadline()) >= 0) { // the process paused past the deadline
      requests.end(request, PendingRequest.State.DEADLINE_EXCEEDED);
      context.observer().requestEnded(request, null);
      request.listener().deadlineMissed(request, response);
    } else {
      requests.end(request, PendingRequest.State.ANSWERED);
      context.observer().requestEnded(request, response);
      request.listener().responded(request, response);
    }
  }

  /** The request that the policy calls by this index. */
  PendingRequest get(int index) {
    return requests.get(index);
  }

  /** Frees the index of a request that nothing refers to any more. */
  void release(int index) {
    requests.release(index);
  }

  /** Requests accepted and without their final state. */
  int pending() {
    return requests.pending();
  }

  /** Requests that the policy knows, pending or with attempts in flight. */
  int unsettled() {
    return requests.unsettled();
  }

  /** Priority weight of the pending requests that are at no worker, by function. */
  Map<String, Double> queuedWeightByFunction() {
    return requests.queuedWeightByFunction(
        request -> settings.priorityWeight(request.requestClass()));
  }
}

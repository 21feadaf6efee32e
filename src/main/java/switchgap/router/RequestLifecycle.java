package switchgap.router;

import java.util.Map;
import switchgap.policy.api.RequestArrival;
import switchgap.policy.api.RouterSettings;

/**
 * Manages requests from their acceptance to their final state. Each request gets at most one
 * response, and none after its deadline. Confined to the event loop thread.
 */
final class RequestLifecycle {
  private final CoreContext context;
  private final RouterSettings settings;
  private final NameIndex functions;
  private final int maxFunctions;
  private final PendingRequestTable requests = new PendingRequestTable();

  /**
   * Creates a lifecycle without requests.
   *
   * @param functions indices of the functions that the policy tracks
   * @param maxFunctions limit of the functions that the policy tracks
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
    if (request.deadline().compareTo(context.now()) <= 0 || !hasOrMayGetIndex(request.function())) {
      request.end(PendingRequest.State.NOT_ACCEPTED);
      return false;
    }
    requests.add(request);
    request.accept(context.now());
    context.policyEvents().requestArrived(arrivalOf(request));
    return true;
  }

  private boolean hasOrMayGetIndex(String function) {
    if (functions.find(function) != NameIndex.NOT_FOUND || functions.size() < maxFunctions) {
      return true;
    }
    context.policyEvents().functionLimitReached();
    return functions.size() < maxFunctions;
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

  /**
   * Handles a client's disconnect or cancellation. No effect if the request is in a final state.
   */
  void cancel(PendingRequest request) {
    if (!request.isPending()) {
      return;
    }
    if (!request.hasIndex()) { // not offered to the policy yet
      request.end(PendingRequest.State.CANCELLED);
      return;
    }
    requests.end(request, PendingRequest.State.CANCELLED);
    context.observer().requestEnded(request, null);
    context.policyEvents().clientDisconnected(request.index());
  }

  /** Passes the final response to the listener. No effect if the request is in a final state. */
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

  /** The request with an index of the policy. */
  PendingRequest get(int index) {
    return requests.get(index);
  }

  /** Frees the index of a request that is no longer referenced. */
  void release(int index) {
    requests.release(index);
  }

  /** The number of accepted requests that have not reached a final state. */
  int pendingCount() {
    return requests.pendingCount();
  }

  /** The number of requests that the policy tracks: pending or with attempts in flight. */
  int trackedCount() {
    return requests.trackedCount();
  }

  /** Total priority weight of the pending requests without an attempt in flight, by function. */
  Map<String, Double> queuedWeightByFunction() {
    return requests.queuedWeightByFunction(
        request -> settings.priorityWeight(request.requestClass()));
  }
}

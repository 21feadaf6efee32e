package switchgap.router;

import java.util.HashMap;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/**
 * Requests that the policy knows, by index. Bounded by whoever accepts requests. Belongs to the
 * event loop.
 */
final class PendingRequestTable {
  private final IndexedTable<PendingRequest> requests = new IndexedTable<>();
  private int pending;

  /** The request of an index, null once it was released. */
  PendingRequest get(int index) {
    return requests.get(index);
  }

  /** Adds a pending request and gives it its index. */
  void add(PendingRequest request) {
    request.indexAs(requests.add(request));
    pending++;
  }

  /** A request that was added reached a final state. */
  void end(PendingRequest request, PendingRequest.State finalState) {
    request.end(finalState);
    pending--;
  }

  /** Frees the index of a request that nothing refers to any more. */
  void release(int index) {
    requests.get(index).forgetIndex();
    requests.set(index, null);
    requests.release(index);
  }

  /** Requests without their final state. */
  int pending() {
    return pending;
  }

  /** Requests that the policy knows: also those with attempts in flight after their end. */
  int unsettled() {
    return requests.size();
  }

  /** Sum of the weights of pending requests without an attempt in flight, by function. */
  Map<String, Double> queuedWeightByFunction(ToDoubleFunction<PendingRequest> weight) {
    Map<String, Double> weights = new HashMap<>();
    requests.stream()
        .filter(PendingRequestTable::isQueued)
        .forEach(
            request ->
                weights.merge(request.function(), weight.applyAsDouble(request), Double::sum));
    return weights;
  }

  private static boolean isQueued(PendingRequest request) {
    return request.isPending() && request.attempts().stream().allMatch(Attempt::hasEnded);
  }
}

package switchgap.router;

import java.util.HashMap;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/**
 * The requests that the policy tracks, by index. Unbounded: the caller that accepts requests must
 * limit them. Confined to the event loop thread.
 */
final class PendingRequestTable {
  private final IndexAllocatingTable<PendingRequest> requests = new IndexAllocatingTable<>();
  private int pendingCount;

  /** The request with an index; null after the index is released. */
  PendingRequest get(int index) {
    return requests.get(index);
  }

  /** Adds a pending request and assigns its index. */
  void add(PendingRequest request) {
    request.assignIndex(requests.add(request));
    pendingCount++;
  }

  /** Sets the final state of a request in this table. */
  void end(PendingRequest request, PendingRequest.State finalState) {
    request.end(finalState);
    pendingCount--;
  }

  /** Frees the index of a request that is no longer referenced. */
  void release(int index) {
    requests.get(index).clearIndex();
    requests.set(index, null);
    requests.release(index);
  }

  /** The number of requests that have not reached a final state. */
  int pendingCount() {
    return pendingCount;
  }

  /**
   * The number of requests that the policy tracks, including ended requests with attempts in
   * flight.
   */
  int trackedCount() {
    return requests.size();
  }

  /** Sums the weights of pending requests without an attempt in flight, by function. */
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

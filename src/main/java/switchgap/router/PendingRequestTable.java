package switchgap.router;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.ToDoubleFunction;

/**
 * Requests that the policy knows, by index. Bounded by whoever accepts requests. Belongs to the
 * event loop.
 */
final class PendingRequestTable {
  private final List<PendingRequest> byIndex = new ArrayList<>();
  private final List<Integer> freeIndices = new ArrayList<>();
  private int pending;

  PendingRequest get(int index) {
    return byIndex.get(index);
  }

  void add(PendingRequest request) {
    if (freeIndices.isEmpty()) {
      request.indexAs(byIndex.size());
      byIndex.add(request);
    } else {
      request.indexAs(freeIndices.remove(freeIndices.size() - 1));
      byIndex.set(request.index(), request);
    }
    pending++;
  }

  /** A request that was added gets its final state. */
  void end(PendingRequest request, PendingRequest.State finalState) {
    request.end(finalState);
    pending--;
  }

  /** Forgets a request that nothing refers to any more. */
  void release(int index) {
    byIndex.get(index).forgetIndex();
    byIndex.set(index, null);
    freeIndices.add(index);
  }

  /** Requests without their final state. */
  int pending() {
    return pending;
  }

  /** Requests that the policy knows: also those with attempts in flight after their end. */
  int unsettled() {
    return byIndex.size() - freeIndices.size();
  }

  /** Sum of the weights of pending requests without an attempt in flight, by function. */
  Map<String, Double> queuedWeightByFunction(ToDoubleFunction<PendingRequest> weight) {
    Map<String, Double> weights = new HashMap<>();
    byIndex.stream()
        .filter(Objects::nonNull)
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

package switchgap.testbed.emulator;

import java.util.Map;
import java.util.TreeMap;

/**
 * Counts what became of requests: by request class, by tenant, and by the second in which they
 * arrived. Times in microseconds. On the scheduler's thread.
 */
final class ServiceTally {
  private static final long MICROS_PER_SECOND = 1_000_000;
  private final Map<String, RequestTally> byRequestClass = new TreeMap<>();
  private final Map<Long, ServiceWeights> bySecond = new TreeMap<>();
  private final Map<String, ServiceWeights> byTenant = new TreeMap<>();
  private long startedAt;
  private long endsAt;

  ServiceTally(Iterable<RequestClassProfile> requestClasses) {
    for (RequestClassProfile requestClass : requestClasses) {
      byRequestClass.put(requestClass.name(), new RequestTally());
    }
  }

  /** Sets the times of the first and the last arrival. */
  void begin(long start, long end) {
    startedAt = start;
    endsAt = end;
  }

  Map<String, RequestTally> byRequestClass() {
    return byRequestClass;
  }

  Map<Long, ServiceWeights> bySecond() {
    return bySecond;
  }

  Map<String, ServiceWeights> byTenant() {
    return byTenant;
  }

  private RequestTally tally(ClientRequest request) {
    return byRequestClass.get(request.profile.name());
  }

  void requestArrived(ClientRequest request) {
    double weight = request.profile.priorityWeight();
    tally(request).requestArrived(weight);
    addWeights(request, new ServiceWeights(weight, 0));
  }

  void attemptSent(ClientRequest request) {
    tally(request).attemptSent();
  }

  /** Counts a success and returns the weight that it earned. */
  double requestSucceeded(ClientRequest request, long now) {
    RequestClassProfile profile = request.profile;
    boolean late = now - request.arrivedAt > profile.latencyObjective();
    double earned =
        late ? profile.priorityWeight() * profile.lateShare() : profile.priorityWeight();
    tally(request).requestSucceeded(late, earned);
    addWeights(request, new ServiceWeights(0, earned));
    return earned;
  }

  void attemptFailed(ClientRequest request, ClientOutcome outcome) {
    tally(request).attemptFailed(outcome);
  }

  private void addWeights(ClientRequest request, ServiceWeights weights) {
    long second = (request.arrivedAt - startedAt) / MICROS_PER_SECOND;
    bySecond.merge(second, weights, ServiceWeights::plus);
    byTenant.merge(request.tenant, weights, ServiceWeights::plus);
  }

  /** Weight earned over weight requested, over all request classes. */
  double service() {
    double requested =
        byRequestClass.values().stream().mapToDouble(tally -> tally.weights().requested()).sum();
    double earned =
        byRequestClass.values().stream().mapToDouble(tally -> tally.weights().earned()).sum();
    return new ServiceWeights(requested, earned).service();
  }

  /** Weight earned over weight requested in the worst window; a shorter run is one window. */
  double worstWindow(int seconds) {
    int wholeSeconds = (int) ((endsAt - startedAt) / MICROS_PER_SECOND);
    int window = Math.min(seconds, Math.max(1, wholeSeconds));
    double worst = 1;
    for (long first : bySecond.keySet()) {
      ServiceWeights weights = weightsOfWindow(first, window);
      if (first + window <= wholeSeconds && weights.requested() > 0) {
        worst = Math.min(worst, weights.earned() / weights.requested());
      }
    }
    return worst;
  }

  private ServiceWeights weightsOfWindow(long first, int window) {
    ServiceWeights sum = ServiceWeights.NONE;
    for (long second = first; second < first + window; second++) {
      sum = sum.plus(bySecond.getOrDefault(second, ServiceWeights.NONE));
    }
    return sum;
  }
}

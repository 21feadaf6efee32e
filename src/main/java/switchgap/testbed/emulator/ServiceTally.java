package switchgap.testbed.emulator;

import java.util.Map;
import java.util.TreeMap;

/**
 * Counts the results of requests by request class, by tenant, and by the second in which they
 * arrived. Times are in microseconds. Used only on the scheduler's thread.
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

  /** Sets the times at which arrivals start and end. */
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

  /** Counts a successful request and returns the weight that it earned. */
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

  /** Weight earned divided by weight requested, over all request classes. */
  double service() {
    double requested =
        byRequestClass.values().stream().mapToDouble(tally -> tally.weights().requested()).sum();
    double earned =
        byRequestClass.values().stream().mapToDouble(tally -> tally.weights().earned()).sum();
    return new ServiceWeights(requested, earned).service();
  }

  /**
   * Returns the lowest quotient of weight earned and weight requested in any window of this many
   * whole seconds. If the run is shorter, the window is the run; without a complete window the
   * result is 1.
   */
  double worstWindow(int seconds) {
    int wholeSeconds = (int) ((endsAt - startedAt) / MICROS_PER_SECOND);
    int windowSeconds = Math.min(seconds, Math.max(1, wholeSeconds));
    double lowestService = 1;
    for (long firstSecond : bySecond.keySet()) {
      ServiceWeights weights = weightsOfWindow(firstSecond, windowSeconds);
      if (firstSecond + windowSeconds <= wholeSeconds && weights.requested() > 0) {
        lowestService = Math.min(lowestService, weights.earned() / weights.requested());
      }
    }
    return lowestService;
  }

  private ServiceWeights weightsOfWindow(long firstSecond, int windowSeconds) {
    ServiceWeights sum = ServiceWeights.NONE;
    for (long second = firstSecond; second < firstSecond + windowSeconds; second++) {
      sum = sum.plus(bySecond.getOrDefault(second, ServiceWeights.NONE));
    }
    return sum;
  }
}

package switchgap.testbed.emulator;

import java.util.Map;
import java.util.TreeMap;

/**
 * Counts what became of requests: by request class, by tenant, and by the second in which they
 * began.
 */
final class ServiceTally {
  private static final long MICROS_PER_SECOND = 1_000_000;
  private static final double MIN_REQUESTED = 1e-9; // avoids a division by zero
  private static final int REQUESTED = 0;
  private static final int EARNED = 1;
  private final Map<String, EmulatedClients.Tally> byRequestClass = new TreeMap<>();
  private final Map<Long, double[]> bySecond = new TreeMap<>();
  private final Map<String, double[]> byTenant = new TreeMap<>();
  private long startedAt;
  private long endsAt;

  ServiceTally(Iterable<EmulatedClients.RequestClassProfile> requestClasses) {
    for (EmulatedClients.RequestClassProfile requestClass : requestClasses) {
      byRequestClass.put(requestClass.name(), new EmulatedClients.Tally());
    }
  }

  /** Times of the first and the last arrival, microseconds. */
  void begin(long at, long end) {
    startedAt = at;
    endsAt = end;
  }

  Map<String, EmulatedClients.Tally> byRequestClass() {
    return byRequestClass;
  }

  Map<Long, double[]> bySecond() {
    return bySecond;
  }

  Map<String, double[]> byTenant() {
    return byTenant;
  }

  EmulatedClients.Tally of(ClientRequest request) {
    return byRequestClass.get(request.profile.name());
  }

  void arrived(ClientRequest request) {
    double weight = request.profile.priorityWeight();
    EmulatedClients.Tally tally = of(request);
    tally.jobs++;
    tally.asked += weight;
    second(request)[REQUESTED] += weight;
    tenant(request)[REQUESTED] += weight;
  }

  /** Counts a success and returns the weight that it earned. */
  double finished(ClientRequest request, long now) {
    EmulatedClients.RequestClassProfile profile = request.profile;
    boolean late = now - request.arrivedAt > profile.latencyObjective();
    double earned =
        late ? profile.priorityWeight() * profile.lateShare() : profile.priorityWeight();
    EmulatedClients.Tally tally = of(request);
    tally.finished++;
    tally.late += late ? 1 : 0;
    tally.earned += earned;
    second(request)[EARNED] += earned;
    tenant(request)[EARNED] += earned;
    return earned;
  }

  void attemptFailed(ClientRequest request, ClientOutcome outcome) {
    EmulatedClients.Tally tally = of(request);
    switch (outcome) {
      case REJECTED -> tally.pushedBack++;
      case FAILED -> tally.failed++;
      case TIMED_OUT -> tally.timedOut++;
      case REFUSED -> tally.refused++;
      default -> tally.unreachable++;
    }
  }

  /** Weight earned over weight requested, over all request classes. */
  double service() {
    double requested = byRequestClass.values().stream().mapToDouble(tally -> tally.asked).sum();
    return byRequestClass.values().stream().mapToDouble(tally -> tally.earned).sum()
        / Math.max(requested, MIN_REQUESTED);
  }

  /** Weight earned over weight requested in the worst window; a shorter run is one window. */
  double worstWindow(int seconds) {
    int wholeSeconds = (int) ((endsAt - startedAt) / MICROS_PER_SECOND);
    int window = Math.min(seconds, Math.max(1, wholeSeconds));
    double worst = 1;
    for (long first : bySecond.keySet()) {
      double requested = 0;
      double earned = 0;
      for (long second = first; second < first + window; second++) {
        double[] sums = bySecond.getOrDefault(second, new double[2]);
        requested += sums[REQUESTED];
        earned += sums[EARNED];
      }
      if (first + window <= wholeSeconds && requested > 0) {
        worst = Math.min(worst, earned / requested);
      }
    }
    return worst;
  }

  private double[] second(ClientRequest request) {
    return bySecond.computeIfAbsent(
        (request.arrivedAt - startedAt) / MICROS_PER_SECOND, second -> new double[2]);
  }

  private double[] tenant(ClientRequest request) {
    return byTenant.computeIfAbsent(request.tenant, name -> new double[2]);
  }
}

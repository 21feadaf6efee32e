package switchgap.testbed.emulator;

/**
 * Priority weight of requests and the part of it that their responses earned.
 *
 * @param requested weight of the requests that arrived
 * @param earned weight that successful responses earned
 */
public record ServiceWeights(double requested, double earned) {
  /** No requests. */
  public static final ServiceWeights NONE = new ServiceWeights(0, 0);

  private static final double MIN_REQUESTED = 1e-9; // avoids a division by zero

  ServiceWeights plusRequested(double weight) {
    return new ServiceWeights(requested + weight, earned);
  }

  ServiceWeights plusEarned(double weight) {
    return new ServiceWeights(requested, earned + weight);
  }

  ServiceWeights plus(ServiceWeights other) {
    return new ServiceWeights(requested + other.requested, earned + other.earned);
  }

  /** Weight earned over weight requested; 0 where nothing was requested. */
  public double service() {
    return earned / Math.max(requested, MIN_REQUESTED);
  }
}

package switchgap.testbed.emulator;

/**
 * The priority weight of requests and the part of it that their responses earned.
 *
 * @param requested weight of the requests that arrived
 * @param earned weight that successful responses earned
 */
public record ServiceWeights(double requested, double earned) {
  /** The weights of no requests. */
  public static final ServiceWeights NONE = new ServiceWeights(0, 0);

  /** Avoids a division by zero. */
  private static final double MIN_DIVISOR = 1e-9;

  ServiceWeights plusRequested(double weight) {
    return new ServiceWeights(requested + weight, earned);
  }

  ServiceWeights plusEarned(double weight) {
    return new ServiceWeights(requested, earned + weight);
  }

  ServiceWeights plus(ServiceWeights other) {
    return new ServiceWeights(requested + other.requested, earned + other.earned);
  }

  /** Weight earned divided by weight requested; 0 if no weight was requested. */
  public double service() {
    return earned / Math.max(requested, MIN_DIVISOR);
  }
}

package switchgap.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.Locale;
import java.util.SplittableRandom;

/**
 * A controller under generated load. Simulated workers reject admitted requests that exceed their
 * capacity.
 */
final class AdmissionFixture {
  /**
   * The parameters of a random load.
   *
   * @param rate offered requests per second
   * @param capacity requests per second that the workers can serve
   * @param utilization CPU utilization that the workers report
   * @param tenantWeights relative frequency of the requests of each tenant
   */
  record Load(double rate, double capacity, double utilization, double[] tenantWeights) {
    static Load ofRate(double rate) {
      return new Load(rate, rate, 0, new double[] {1, 1});
    }

    Load capacity(double requestsPerSecond) {
      return new Load(rate, requestsPerSecond, utilization, tenantWeights);
    }

    Load utilization(double reported) {
      return new Load(rate, capacity, reported, tenantWeights);
    }

    Load tenantWeights(double... weights) {
      return new Load(rate, capacity, utilization, weights);
    }
  }

  private static final double LOW_PRIORITY_FRACTION = 0.7;
  private static final int KEY_COUNT = 40;

  /** Time constant of the exponential moving average of the admitted rate. */
  private static final double ADMITTED_RATE_SECONDS = 0.5;

  private final AdmissionSettings settings;
  private final SplittableRandom random = new SplittableRandom(3);
  private AdmissionController controller;
  private double nowSeconds;
  private double admittedRate;

  AdmissionFixture(AdmissionSettings settings, long seed) {
    this.settings = settings;
    this.controller = new AdmissionController(settings, seed);
  }

  AdmissionController controller() {
    return controller;
  }

  /** Simulates a restart of the router: creates a new controller at time 0. */
  void restart(long seed) {
    controller = new AdmissionController(settings, seed);
    nowSeconds = 0;
  }

  static Duration seconds(double seconds) {
    return Duration.ofNanos((long) (seconds * 1e9));
  }

  double nowSeconds() {
    return nowSeconds;
  }

  Duration now() {
    return seconds(nowSeconds);
  }

  void setNow(double seconds) {
    nowSeconds = seconds;
  }

  double nextRandom() {
    return random.nextDouble();
  }

  /** Offers a load for a number of seconds; returns the number of rejected requests by tenant. */
  int[] offer(double seconds, Load load) {
    int[] rejected = new int[load.tenantWeights().length];
    double interval = 1 / load.rate();
    for (double end = nowSeconds + seconds; nowSeconds < end; nowSeconds += interval) {
      int tenant = randomTenant(load);
      int requestClass =
          random.nextDouble() < LOW_PRIORITY_FRACTION
              ? AdmissionSettingsBuilder.LOW_PRIORITY
              : AdmissionSettingsBuilder.TOP_PRIORITY;
      admittedRate *= Math.exp(-interval / ADMITTED_RATE_SECONDS);
      if (controller.decide(now(), tenant, requestClass, random.nextInt(KEY_COUNT)).admitted()) {
        serve(requestClass, load);
      } else {
        rejected[tenant]++;
      }
    }
    return rejected;
  }

  private int randomTenant(Load load) {
    double[] weights = load.tenantWeights();
    double draw = random.nextDouble() * Arrays.stream(weights).sum();
    int tenant = 0;
    while (tenant < weights.length - 1 && draw >= weights[tenant]) {
      draw -= weights[tenant];
      tenant++;
    }
    return tenant;
  }

  private void serve(int requestClass, Load load) {
    admittedRate += 1 / ADMITTED_RATE_SECONDS;
    controller.workerReported(load.utilization());
    boolean saturated = random.nextDouble() < 1 - load.capacity() / admittedRate;
    controller.requestEnded(
        now(), requestClass, saturated ? RequestOutcome.SATURATED : RequestOutcome.IN_TIME);
  }

  /** Asserts that the changes of level equal those of the resource file {@code name}.txt. */
  void assertChangesMatchTrace(String name) throws IOException {
    try (InputStream trace = AdmissionFixture.class.getResourceAsStream(name + ".txt")) {
      assertThat(trace).as("resource file of the trace " + name).isNotNull();
      String expected = new String(trace.readAllBytes(), StandardCharsets.UTF_8);
      assertThat(traceOfChanges()).isEqualTo(expected);
    }
  }

  private String traceOfChanges() {
    StringBuilder lines = new StringBuilder();
    for (ServiceLevelChange change : controller.changes()) {
      lines.append(
          String.format(
              Locale.ROOT,
              "%6.1f %s %s to %s: %s%n",
              change.time().toMillis() / 1000.0,
              change.appliesToAll() ? "all" : "tenant " + change.tenant(),
              change.previous(),
              change.current(),
              change.condition()));
    }
    return lines.toString();
  }
}

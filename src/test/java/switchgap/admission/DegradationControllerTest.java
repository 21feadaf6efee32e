package switchgap.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class DegradationControllerTest {
  private static final double TICK_SECONDS = 0.1;
  private static final ControlSignal MILD_PRESSURE = new ControlSignal(0.05, true, false);
  private static final ControlSignal SEVERE_PRESSURE = new ControlSignal(0.05, true, true);
  private static final ControlSignal NO_PRESSURE = new ControlSignal(-0.05, true, false);

  private final DegradationController controller =
      new DegradationController(
          Duration.ofSeconds(8), new SplittableRandom(1), ServiceLevel.FULL, ServiceLevel.LEAST);
  private double nowSeconds;

  /**
   * Applies a signal until the controller leaves a level; returns the simulated seconds until then.
   */
  private double secondsUntilLeaving(ServiceLevel level, ControlSignal signal) {
    double start = nowSeconds;
    while (controller.level() == level) {
      Duration now = AdmissionFixture.seconds(nowSeconds);
      controller.update(now, TICK_SECONDS, signal, ServiceLevel.HOLD);
      nowSeconds += TICK_SECONDS;
    }
    return nowSeconds - start;
  }

  /** Guards against oscillation between levels with each wave of load. */
  @Test
  void mildPressureReducesRestoredServiceOnlyAfterFourMinimumStays() {
    secondsUntilLeaving(ServiceLevel.FULL, MILD_PRESSURE);
    assertThat(secondsUntilLeaving(ServiceLevel.LEAST, NO_PRESSURE)).isBetween(31.9, 40.0);

    assertThat(secondsUntilLeaving(ServiceLevel.FULL, MILD_PRESSURE)).isBetween(31.9, 45.0);

    secondsUntilLeaving(ServiceLevel.LEAST, NO_PRESSURE);
    assertThat(secondsUntilLeaving(ServiceLevel.FULL, SEVERE_PRESSURE)).isLessThan(10);
  }
}

package switchgap.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** A check that runs much later than scheduled indicates a stall of the process. */
class StallDetectorTest {
  private static Duration millis(long millis) {
    return Duration.ofMillis(millis);
  }

  @Test
  void reportsStallOnceWhenCheckIsLateByMoreThanThreshold() {
    StallDetector detector = new StallDetector(millis(200), millis(0));
    assertThat(detector.recordCheck(millis(210))).isZero();
    assertThat(detector.recordCheck(millis(500))).as("stall for a check delayed by 90 ms").isZero();
    assertThat(detector.recordCheck(millis(2700))).isEqualTo(millis(2000));
    assertThat(detector.recordCheck(millis(2701)))
        .as("stall for a check immediately after a delayed one")
        .isZero();
    assertThat(detector.recordCheck(millis(2900))).isZero();
  }
}

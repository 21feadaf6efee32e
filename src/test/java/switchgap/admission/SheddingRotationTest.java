package switchgap.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Checks that the rotation sheds the given fraction and that a retry gets the same decision. */
class SheddingRotationTest {
  private final SplittableRandom random = new SplittableRandom(7);
  private final SheddingRotation rotation =
      new SheddingRotation(Duration.ofSeconds(60), new SplittableRandom(3));

  private void offerLoad(int seconds, int keys) {
    for (int second = 0; second < seconds; second++) {
      for (int i = 0; i < 50; i++) {
        rotation.sheds(i % 5, random.nextInt(keys), 1, 0, random.nextDouble());
      }
      rotation.advance(1, 0.9);
    }
  }

  private double measuredShedFraction(int requests, int keys, double shedFraction) {
    int shed = 0;
    for (int i = 0; i < requests; i++) {
      shed +=
          rotation.sheds(i % 5, random.nextInt(keys), 1, shedFraction, random.nextDouble()) ? 1 : 0;
    }
    return shed / (double) requests;
  }

  @Test
  void shedsTheShedFractionOfTheLoad() {
    offerLoad(30, 20);
    assertThat(measuredShedFraction(20_000, 20, 0)).isZero();
    assertThat(measuredShedFraction(20_000, 20, 0.3)).isBetween(0.22, 0.38);
    assertThat(measuredShedFraction(20_000, 20, 0.8)).isBetween(0.72, 0.88);
    assertThat(measuredShedFraction(1000, 20, 1)).isEqualTo(1);
  }

  /**
   * Guards against the admission of late retries. With an independent decision for each request,
   * the third attempt was nearly always admitted, too late to be useful.
   */
  @Test
  void retryGetsTheSameDecision() {
    offerLoad(30, 20);
    int sameDecisions = 0;
    for (int key = 0; key < 1000; key++) {
      boolean first = rotation.sheds(1, key, 1e-9, 0.5, 0.5);
      sameDecisions += first == rotation.sheds(1, key, 1e-9, 0.5, 0.5) ? 1 : 0;
    }
    assertThat(sameDecisions).isEqualTo(1000);
  }

  @Test
  void shedsEachKeyForPartOfTheTimeOnly() {
    offerLoad(30, 20);
    for (int key = 0; key < 20; key++) {
      int shed = 0;
      for (int second = 0; second < 60; second++) {
        shed += rotation.sheds(0, key, 1, 0.4, 0.5) ? 1 : 0;
        rotation.advance(1, 1);
      }
      assertThat(shed).isBetween(18, 30);
    }
  }

  /**
   * All load is on one slot of the rotation. An arc that covered whole slots only would shed all of
   * it or nothing.
   */
  @Test
  void shedsPartOfTheLoadOfASingleFunction() {
    for (int second = 0; second < 60; second++) {
      for (int i = 0; i < 50; i++) {
        rotation.sheds(0, 1, 1, 0, 0.5);
      }
      rotation.advance(1, 0.9);
    }
    int shed = 0;
    for (int i = 0; i < 5000; i++) {
      shed += rotation.sheds(0, 1, 1, 0.3, random.nextDouble()) ? 1 : 0;
    }
    assertThat(shed / 5000.0).isBetween(0.25, 0.35);
  }
}

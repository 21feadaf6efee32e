package switchgap.admission;

import static org.assertj.core.api.Assertions.assertThat;
import static switchgap.admission.AdmissionSettingsBuilder.LOW_PRIORITY;
import static switchgap.admission.AdmissionSettingsBuilder.TOP_PRIORITY;

import java.io.IOException;
import java.time.Duration;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import switchgap.admission.AdmissionFixture.Load;
import switchgap.testing.ReachableObjects;

/**
 * Tests the service level for all requests under generated loads: overload, recovery, pins, clock
 * jumps and bounded memory.
 */
class AdmissionControllerTest {
  private static final Load OVERLOAD = Load.ofRate(120).capacity(60).utilization(0.97);

  private static AdmissionSettings settings() {
    return new AdmissionSettingsBuilder().tenants(2).build();
  }

  private final AdmissionFixture fixture = new AdmissionFixture(settings(), 1);
  private final AdmissionController controller = fixture.controller();

  @Test
  void shedsAnOverloadAndRestoresServiceGradually() throws IOException {
    fixture.offer(30, Load.ofRate(50).capacity(60).utilization(0.6));
    fixture.offer(60, OVERLOAD);
    assertThat(controller.level()).isEqualTo(ServiceLevel.LEAST);
    assertThat(controller.rejections(ServiceLevel.LEAST, TOP_PRIORITY)).isZero();
    assertThat(controller.rejections(ServiceLevel.LEAST, LOW_PRIORITY)).isPositive();
    double shedFraction = controller.shedFraction();
    Load afterOverload = Load.ofRate(40).capacity(60).utilization(0.5);

    fixture.offer(3, afterOverload);
    assertThat(controller.shedFraction()).isBetween(0.3 * shedFraction, 0.999 * shedFraction);

    fixture.offer(60, afterOverload);
    assertThat(controller.level()).isEqualTo(ServiceLevel.FULL);
    fixture.assertChangesMatchTrace("overload");
  }

  @Test
  void doesNotOscillateUnderLoadAtTheThreshold() {
    double thresholdRate = 60 * 1.17;

    for (int i = 0; i < 60; i++) {
      double rate = thresholdRate * (0.95 + 0.1 * fixture.nextRandom());
      fixture.offer(10, Load.ofRate(rate).capacity(60).utilization(0.95));
    }

    // At most one change per four minimum stays of 8 s.
    int maxChanges = 600 / (4 * 8);
    assertThat(controller.changes().size()).isLessThanOrEqualTo(maxChanges);
  }

  @Test
  void keepsTheLevelOnSaturationWhileWorkersAreUnderutilized() {
    fixture.offer(60, Load.ofRate(80).capacity(60).utilization(0.5));

    assertThat(controller.changes()).isEmpty();
  }

  @Test
  void lowRateNeitherReactsToOneSampleNorStaysDegraded() {
    controller.decide(AdmissionFixture.seconds(1), 0, TOP_PRIORITY, 0);
    controller.workerReported(1);
    controller.requestEnded(AdmissionFixture.seconds(1.1), TOP_PRIORITY, RequestOutcome.SATURATED);
    fixture.offer(1, Load.ofRate(2).capacity(0.001).utilization(1));
    assertThat(controller.changes()).isEmpty();

    fixture.setNow(2);
    fixture.offer(40, Load.ofRate(2).capacity(0.8).utilization(1));
    assertThat(controller.level()).isNotEqualTo(ServiceLevel.FULL);

    fixture.offer(300, Load.ofRate(2).capacity(100).utilization(0.5));
    assertThat(controller.level()).isEqualTo(ServiceLevel.FULL);
  }

  @Test
  void reachesTheSameLevelAfterARestartInOverload() {
    fixture.restart(9);

    fixture.offer(15, OVERLOAD);

    assertThat(fixture.controller().level()).isEqualTo(ServiceLevel.LEAST);
  }

  @Test
  void followsTheMeasuredPressureAfterAPinInOverload() {
    controller.pin(fixture.now(), ServiceLevel.HOLD, AdmissionFixture.seconds(20));
    int[] rejected = fixture.offer(19, Load.ofRate(100).capacity(60).utilization(0.97));
    assertThat(rejected[0] + rejected[1])
        .as("rejected requests of all tenants")
        .isGreaterThan(1800);
    controller.pin(fixture.now(), ServiceLevel.FULL, AdmissionFixture.seconds(40));
    assertThat(controller.decide(fixture.now(), 0, LOW_PRIORITY, 0).admitted()).isTrue();

    fixture.offer(22, OVERLOAD);
    fixture.offer(10, OVERLOAD);

    assertThat(controller.isPinned()).isFalse();
    assertThat(controller.level()).isEqualTo(ServiceLevel.LEAST);
  }

  @Test
  void clockJumpDoesNotChangeTheLevel() {
    fixture.offer(40, OVERLOAD);
    double shedFraction = controller.shedFraction();
    double jumpedSeconds = fixture.nowSeconds() + 7;

    controller.tick(AdmissionFixture.seconds(jumpedSeconds));
    assertThat(controller.level()).isEqualTo(ServiceLevel.LEAST);
    assertThat(controller.shedFraction()).isBetween(shedFraction - 0.2, shedFraction + 0.2);

    controller.tick(AdmissionFixture.seconds(jumpedSeconds - 3));
    assertThat(controller.level()).isEqualTo(ServiceLevel.LEAST);
  }

  @Test
  void routersDoNotChangeLevelsSimultaneously() {
    TreeSet<Long> halfSecondsOfFirstChange = new TreeSet<>();

    for (int seed = 0; seed < 40; seed++) {
      fixture.restart(seed);
      fixture.offer(30, Load.ofRate(3).capacity(1).utilization(1));
      fixture.controller().changes().stream()
          .limit(1)
          .forEach(first -> halfSecondsOfFirstChange.add(first.time().toMillis() / 500));
    }

    assertThat(halfSecondsOfFirstChange).hasSizeGreaterThan(5);
  }

  /**
   * Simulates days of pins and loads. Guards against unbounded growth of the history, also if no
   * caller drains the changes.
   */
  @Test
  void keepsBoundedHistoryOverDays() {
    AdmissionController longRunning =
        new AdmissionController(new AdmissionSettingsBuilder().tenants(3).build(), 1);

    for (int day = 0; day < 2; day++) {
      for (int i = 0; i < 20_000; i++) {
        Duration now = Duration.ofSeconds(day * 200_000L + i * 10L);
        longRunning.decide(now, i % 3, i % 2, i);
        longRunning.requestEnded(now, i % 2, RequestOutcome.SATURATED);
        if (i % 10 == 0) {
          longRunning.pin(now, ServiceLevel.LEAST, now.plusSeconds(5));
        }
      }
    }

    assertThat(longRunning.changes()).hasSize(64);
    assertThat(ReachableObjects.count(longRunning)).isLessThan(2000);
    assertThat(longRunning.drainChanges().size()).isLessThanOrEqualTo(64);
    assertThat(longRunning.pressure()).isBetween(0.0, 1.0);
  }
}

package switchgap.admission;

import static org.assertj.core.api.Assertions.assertThat;
import static switchgap.admission.AdmissionSettingsBuilder.LOW_PRIORITY;
import static switchgap.admission.AdmissionSettingsBuilder.TOP_PRIORITY;

import org.junit.jupiter.api.Test;
import switchgap.admission.AdmissionFixture.Load;
import switchgap.policy.api.Idempotency;

/** Tests which request classes a controller rejects under various settings. */
class RejectionRulesTest {
  /**
   * Returns the number of rejections at a worker utilization of 60% if a tenth of the requests is
   * late.
   */
  private static int rejectionsWithATenthLate(double protectedFraction) {
    AdmissionSettings settings =
        new AdmissionSettingsBuilder()
            .tenants(1)
            .lowestLevel(ServiceLevel.LEAST)
            .withoutRetryAfter()
            .protectedFraction(protectedFraction)
            .build();
    AdmissionController controller = new AdmissionController(settings, 1);
    int rejections = 0;
    for (int i = 0; i < 3000; i++) {
      controller.workerReported(0.6);
      int requestClass = i % 3 == 0 ? TOP_PRIORITY : LOW_PRIORITY;
      double nowSeconds = i / 50.0;
      boolean admitted =
          controller
              .decide(AdmissionFixture.seconds(nowSeconds), 0, requestClass, i % 17)
              .admitted();
      if (admitted) {
        RequestOutcome outcome = i % 10 == 0 ? RequestOutcome.LATE : RequestOutcome.IN_TIME;
        controller.requestEnded(AdmissionFixture.seconds(nowSeconds), requestClass, outcome);
      } else {
        rejections++;
      }
    }
    return rejections;
  }

  @Test
  void rejectsLowPriorityForMissedObjectivesOnlyWithAProtectedFraction() {
    assertThat(rejectionsWithATenthLate(0)).isZero();
    assertThat(rejectionsWithATenthLate(0.97)).isPositive();
  }

  @Test
  void equalPrioritiesAreShedOnlyByHold() {
    AdmissionSettings settings =
        new AdmissionSettingsBuilder().priorityWeights(1, 1).tenants(2).build();
    AdmissionFixture fixture = new AdmissionFixture(settings, 1);

    fixture.offer(40, Load.ofRate(90).capacity(60).utilization(0.97));
    // The router itself rejects the third of the load that exceeds the capacity.
    assertThat(fixture.controller().level()).isEqualTo(ServiceLevel.FULL);

    fixture.offer(60, Load.ofRate(300).capacity(60).utilization(0.99));
    assertThat(fixture.controller().level()).isEqualTo(ServiceLevel.HOLD);
  }

  @Test
  void skipsLeastIfNoRequestClassIsIdempotent() {
    AdmissionSettings settings =
        new AdmissionSettingsBuilder()
            .idempotency(Idempotency.NON_IDEMPOTENT, Idempotency.NON_IDEMPOTENT)
            .tenants(1)
            .lowestLevel(ServiceLevel.MOST)
            .withoutRetryAfter()
            .build();
    AdmissionFixture fixture = new AdmissionFixture(settings, 1);

    fixture.offer(40, Load.ofRate(150).capacity(60).utilization(0.97).tenantWeights(1));

    AdmissionController controller = fixture.controller();
    assertThat(controller.level()).isEqualTo(ServiceLevel.MOST);
    assertThat(controller.rejections(ServiceLevel.MOST, LOW_PRIORITY)).isPositive();
    assertThat(controller.rejections(ServiceLevel.MOST, TOP_PRIORITY)).isZero();
  }

  @Test
  void rejectsNothingOfAnExemptClassAndStaysAboveTheLowestLevel() {
    AdmissionSettings settings =
        new AdmissionSettingsBuilder()
            .idempotency(Idempotency.IDEMPOTENT, Idempotency.IDEMPOTENT)
            .tenants(1)
            .exempt(true, false)
            .lowestLevel(ServiceLevel.LEAST)
            .withoutRetryAfter()
            .build();
    AdmissionFixture fixture = new AdmissionFixture(settings, 1);

    fixture.offer(60, Load.ofRate(300).capacity(60).utilization(0.99).tenantWeights(1));

    for (ServiceLevel level : ServiceLevel.values()) {
      assertThat(fixture.controller().rejections(level, LOW_PRIORITY)).isZero();
    }
    // No class is left that a level down to LEAST may reject.
    assertThat(fixture.controller().level()).isEqualTo(ServiceLevel.FULL);
  }
}

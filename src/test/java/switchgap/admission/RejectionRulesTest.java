package switchgap.admission;

import static org.assertj.core.api.Assertions.assertThat;
import static switchgap.admission.AdmissionSettingsBuilder.LOW_PRIORITY;
import static switchgap.admission.AdmissionSettingsBuilder.TOP_PRIORITY;

import org.junit.jupiter.api.Test;
import switchgap.admission.AdmissionFixture.Load;
import switchgap.policy.api.Idempotency;

/** Which request classes a controller rejects under which settings. */
class RejectionRulesTest {
  /** Workers at 60% where a tenth is late. */
  private static int rejectionsWhereATenthIsLate(double protectedFraction) {
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
    assertThat(rejectionsWhereATenthIsLate(0)).isZero();
    assertThat(rejectionsWhereATenthIsLate(0.97)).isPositive();
  }

  @Test
  void equalPrioritiesLeaveNothingToShedBeforeHold() {
    AdmissionSettings settings =
        new AdmissionSettingsBuilder().priorityWeights(1, 1).tenants(2).build();
    AdmissionFixture fixture = new AdmissionFixture(settings, 1);

    fixture.offer(40, Load.ofRate(90).capacity(60).utilization(0.97));
    // a third too much is left to the router to reject
    assertThat(fixture.controller().level()).isEqualTo(ServiceLevel.FULL);

    fixture.offer(60, Load.ofRate(300).capacity(60).utilization(0.99));
    assertThat(fixture.controller().level()).isEqualTo(ServiceLevel.HOLD);
  }

  @Test
  void takesTheNextLevelWhereNoRequestClassIsIdempotent() {
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
    // no class remains that a level down to LEAST may reject
    assertThat(fixture.controller().level()).isEqualTo(ServiceLevel.FULL);
  }
}

package switchgap.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import org.junit.jupiter.api.Test;
import switchgap.admission.AdmissionFixture.Load;

/** Checks that only the load of tenants over their quotas is shed. */
class TenantQuotaTest {
  private static final Load BALANCED_LOAD =
      Load.ofRate(50).capacity(100).utilization(0.7).tenantWeights(1, 1, 1, 1, 1);

  private static AdmissionFixture fixture(int tenants) {
    return new AdmissionFixture(new AdmissionSettingsBuilder().tenants(tenants).build(), 1);
  }

  @Test
  void shedsOnlyTheTenantOverItsQuota() throws IOException {
    AdmissionFixture fixture = fixture(5);
    fixture.offer(20, BALANCED_LOAD);
    Load oneOverQuota =
        Load.ofRate(130).capacity(100).utilization(0.95).tenantWeights(9, 1, 1, 1, 1);

    int[] rejected = fixture.offer(60, oneOverQuota);

    assertThat(rejected[0]).isGreaterThan(500);
    assertThat(rejected[1] + rejected[2] + rejected[3] + rejected[4]).isZero();
    assertThat(fixture.controller().level()).isEqualTo(ServiceLevel.FULL);
    fixture.offer(60, BALANCED_LOAD);
    assertThat(fixture.controller().level(0)).isEqualTo(ServiceLevel.FULL);
    fixture.assertChangesMatchTrace("tenant-over-quota");
  }

  @Test
  void shedsTwoTenantsOverTheirQuotasAndNoOther() {
    AdmissionFixture fixture = fixture(5);
    fixture.offer(20, BALANCED_LOAD);
    Load twoOverQuota =
        Load.ofRate(150).capacity(110).utilization(0.95).tenantWeights(6, 6, 1, 1, 1);

    int[] rejected = fixture.offer(60, twoOverQuota);

    assertThat(rejected[2] + rejected[3] + rejected[4]).isZero();
    assertThat(rejected[0]).isPositive();
    assertThat(rejected[1]).isPositive();
    assertThat(fixture.controller().level()).isEqualTo(ServiceLevel.FULL);
  }

  @Test
  void singleTenantIsNeverOverItsQuota() {
    AdmissionFixture fixture = fixture(1);

    fixture.offer(40, Load.ofRate(120).capacity(60).utilization(0.97).tenantWeights(1));

    assertThat(fixture.controller().level(0)).isEqualTo(ServiceLevel.FULL);
    assertThat(fixture.controller().level()).isEqualTo(ServiceLevel.LEAST);
  }
}

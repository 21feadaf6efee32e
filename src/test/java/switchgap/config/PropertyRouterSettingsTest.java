package switchgap.config;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import java.util.Map;
import org.junit.jupiter.api.Test;
import switchgap.policy.api.Idempotency;

/** Tests reading of router settings from values by path, and the errors for invalid values. */
class PropertyRouterSettingsTest {
  @Test
  void readsLinesOfPathAndValue() {
    PropertyRouterSettings settings =
        PropertyRouterSettings.parse("Me = 3\nnoise\nTickUs=1500\nExtra.MachineMb=4000,8000.5\n");
    assertThat(settings.routerIndex()).isEqualTo(3);
    assertThat(settings.tickInterval()).isEqualTo(Duration.ofNanos(1_500_000));
    assertThat(settings.workerKindMemory()).containsExactly(4000, 8000.5);
  }

  @Test
  void readsListOfObjects() {
    PropertyRouterSettings settings =
        PropertyRouterSettings.parse(
            "Lanes.count=2\nLanes.0.Name=again\nLanes.1.Name=once\nLanes.1.Effect=fragile\n");
    assertThat(settings.requestClassCount()).isEqualTo(2);
    assertThat(settings.namedIndices("Lanes")).isEqualTo(Map.of("again", 0, "once", 1));
    assertThat(settings.idempotency(1)).isEqualTo(Idempotency.NON_IDEMPOTENT);
  }

  @Test
  void returnsDefaultsForMissingOptionalValues() {
    PropertyRouterSettings settings = PropertyRouterSettings.parse("");
    assertThat(settings.tenantCount()).isZero();
    assertThat(settings.probePrice()).isZero();
    assertThat(settings.namedIndices("Tenants")).isEmpty();
    assertThat(settings.reportsConcurrency()).isFalse();
    assertThat(settings.reportFieldIndex("load_share")).isEqualTo(-1);
  }

  @Test
  void reportsPathOfMissingOrInvalidValue() {
    PropertyRouterSettings settings =
        PropertyRouterSettings.parse(
            "Balancers=many\nLimits.Probes=yes\nDiscovery=daily\nExtra.MachineMb=4000,big\n");
    assertRejected(settings::routerIndex, "setting Me is missing");
    assertRejected(settings::requestClassCount, "setting Lanes.count is missing");
    assertRejected(settings::routerCount, "setting Balancers must be a number, got 'many'");
    assertRejected(
        settings::probesAllowed, "setting Limits.Probes must be true or false, got 'yes'");
    assertRejected(
        settings::pollsEndpointList, "setting Discovery has the unsupported value 'daily'");
    assertRejected(settings::workerKindMemory, "setting Extra.MachineMb must be a list of numbers");
  }

  private static void assertRejected(Runnable reading, String message) {
    assertThatThrownBy(reading::run)
        .isInstanceOf(IllegalArgumentException.class)
        .hasMessage(message);
  }
}

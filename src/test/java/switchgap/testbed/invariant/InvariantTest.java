package switchgap.testbed.invariant;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.Objects;
import org.junit.jupiter.api.Test;

/** Published reports use these labels, so they must not change. */
class InvariantTest {
  @Test
  void keepsLabelsOfScenarioReports() {
    assertThat(Arrays.stream(Invariant.values()).map(Invariant::scenarioLabel))
        .filteredOn(Objects::nonNull)
        .containsExactly("answers", "repeats", "drains", "cold workers", "ration");
  }

  @Test
  void keepsLabelsOfSoakReports() {
    assertThat(Arrays.stream(Invariant.values()).map(Invariant::soakLabel))
        .filteredOn(Objects::nonNull)
        .containsExactlyInAnyOrder(
            "LOST",
            "DUPLICATE",
            "DRAIN",
            "FAILBACK",
            "CLIENT_GONE",
            "DEADLINE",
            "ANSWER",
            "PROCESS");
  }
}

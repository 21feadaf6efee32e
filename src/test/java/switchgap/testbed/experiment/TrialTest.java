package switchgap.testbed.experiment;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import switchgap.admission.ServiceLevel;
import switchgap.testbed.scenario.Scenario;

/**
 * Trials in virtual time: the same seed brings the same trial, and service levels act in overload.
 */
class TrialTest {
  private static final int SEED = 3;
  private static final int OTHER_SEED = 4;
  private static final double LOW_LOAD = 0.4;
  private static final double OVERLOAD = 2;

  @TempDir Path directory;

  private Trial play(int seed, Variant variant, double load) throws Exception {
    Scenario scenario = Scenario.read(SmallScenario.write(directory, 10, 40));
    return Trial.play(scenario, seed, variant, LoadCurve.flat(load, 40));
  }

  @Test
  void repeatsTheTrialForTheSameSeedAndNotForAnother() throws Exception {
    Trial trial = play(SEED, Variant.LEVELS, 1.5);
    Trial repeated = play(SEED, Variant.LEVELS, 1.5);
    Trial other = play(OTHER_SEED, Variant.LEVELS, 1.5);

    assertThat(repeated.service()).isEqualTo(trial.service());
    assertThat(repeated.eventCount()).isEqualTo(trial.eventCount());
    assertThat(other.eventCount()).isNotEqualTo(trial.eventCount());
  }

  @Test
  void changesNoLevelUnderLowLoad() throws Exception {
    Trial levels = play(SEED, Variant.LEVELS, LOW_LOAD);
    Trial off = play(SEED, Variant.OFF, LOW_LOAD);

    assertThat(levels.levels().commonChangeCount()).isZero();
    assertThat(levels.service().overall()).isEqualTo(off.service().overall());
  }

  @Test
  void changesLevelsInOverloadWithoutLossOfService() throws Exception {
    Trial levels = play(SEED, Variant.LEVELS, OVERLOAD);
    Trial off = play(SEED, Variant.OFF, OVERLOAD);

    assertThat(levels.levels().commonChangeCount()).isPositive();
    assertThat(levels.service().overall()).isGreaterThan(off.service().overall() - 0.005);
  }

  @Test
  void leastLevelServesTheImportantRequestClassAlone() throws Exception {
    Variant pinned =
        new Variant("pinned", Variant.AdmissionMode.LEVELS, ServiceLevel.LEAST, Map.of());
    Map<String, Double> least = play(SEED, pinned, OVERLOAD).service().objectiveMetShare();
    Map<String, Double> off = play(SEED, Variant.OFF, OVERLOAD).service().objectiveMetShare();

    assertThat(least.get("notice-send")).isGreaterThan(off.get("notice-send"));
    assertThat(least.get("status-refresh")).isZero();
  }
}

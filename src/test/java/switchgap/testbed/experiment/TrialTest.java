package switchgap.testbed.experiment;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import switchgap.admission.ServiceLevel;
import switchgap.testbed.scenario.Scenario;

/**
 * Trials in virtual time: results are reproducible by seed, and service levels change only in
 * overload.
 */
class TrialTest {
  private static final int SEED = 3;
  private static final int OTHER_SEED = 4;
  private static final double LOW_LOAD = 0.4;
  private static final double OVERLOAD = 2;

  @TempDir Path directory;

  private Trial run(int seed, Variant variant, double load) throws Exception {
    Scenario scenario = Scenario.read(SmallScenario.write(directory, 10, 40));
    return Trial.run(scenario, seed, variant, LoadCurve.flat(load, 40));
  }

  @Test
  void givesSameResultOnlyForSameSeed() throws Exception {
    Trial trial = run(SEED, Variant.LEVELS, 1.5);
    Trial repeatedTrial = run(SEED, Variant.LEVELS, 1.5);
    Trial trialOfOtherSeed = run(OTHER_SEED, Variant.LEVELS, 1.5);

    assertThat(repeatedTrial.service()).isEqualTo(trial.service());
    assertThat(repeatedTrial.eventCount()).isEqualTo(trial.eventCount());
    assertThat(trialOfOtherSeed.eventCount()).isNotEqualTo(trial.eventCount());
  }

  @Test
  void changesNoLevelUnderLowLoad() throws Exception {
    Trial trialWithLevels = run(SEED, Variant.LEVELS, LOW_LOAD);
    Trial trialWithoutAdmission = run(SEED, Variant.OFF, LOW_LOAD);

    assertThat(trialWithLevels.levels().commonChangeCount()).isZero();
    assertThat(trialWithLevels.service().overallService())
        .isEqualTo(trialWithoutAdmission.service().overallService());
  }

  @Test
  void changesLevelsInOverloadWithoutLossOfService() throws Exception {
    Trial trialWithLevels = run(SEED, Variant.LEVELS, OVERLOAD);
    Trial trialWithoutAdmission = run(SEED, Variant.OFF, OVERLOAD);

    assertThat(trialWithLevels.levels().commonChangeCount()).isPositive();
    assertThat(trialWithLevels.service().overallService())
        .isGreaterThan(trialWithoutAdmission.service().overallService() - 0.005);
  }

  @Test
  void leastLevelServesOnlyTheImportantRequestClass() throws Exception {
    Variant pinnedToLeast =
        new Variant("pinned", Variant.AdmissionMode.LEVELS, ServiceLevel.LEAST, Map.of());
    Map<String, Double> leastShares =
        run(SEED, pinnedToLeast, OVERLOAD).service().objectiveMetShare();
    Map<String, Double> offShares = run(SEED, Variant.OFF, OVERLOAD).service().objectiveMetShare();

    assertThat(leastShares.get("notice-send")).isGreaterThan(offShares.get("notice-send"));
    assertThat(leastShares.get("status-refresh")).isZero();
  }
}

package switchgap.testbed.experiment;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import switchgap.admission.ServiceLevel;
import switchgap.testbed.scenario.Scenario;

/**
 * Simulated time: the same seed plays the same day, variants meet the same arrivals, and levels act
 * in overload.
 */
class EmulatorTest {
  @TempDir Path dir;

  private Scenario day() throws Exception {
    return Scenario.read(SmallScenario.write(dir, 10, 40));
  }

  private static LoadCurve flat(double load) {
    return LoadCurve.flat(load, 40);
  }

  @Test
  void theSameSeedPlaysTheSameDayAndVariantsMeetTheSameArrivals() throws Exception {
    Trial a = new Trial(day(), 3, Variant.LEVELS, flat(1.5));
    Trial b = new Trial(day(), 3, Variant.LEVELS, flat(1.5));
    assertThat(b.service).isEqualTo(a.service);
    assertThat(b.eventCount).isEqualTo(a.eventCount);
    assertThat(b.objectiveMetShare).isEqualTo(a.objectiveMetShare);
    Trial other = new Trial(day(), 4, Variant.LEVELS, flat(1.5));
    assertThat(other.eventCount).isNotEqualTo(a.eventCount);
  }

  @Test
  void levelsKeepOutOfAQuietDayAndSpareTheImportantInOverload() throws Exception {
    Trial quiet = new Trial(day(), 3, Variant.LEVELS, flat(0.4));
    Trial off = new Trial(day(), 3, Variant.OFF, flat(0.4));
    assertThat(quiet.changeCount).isZero();
    assertThat(quiet.service).isEqualTo(off.service);
    Trial full = new Trial(day(), 3, Variant.LEVELS, flat(2));
    Trial none = new Trial(day(), 3, Variant.OFF, flat(2));
    assertThat(full.changeCount).isPositive();
    assertThat(full.service).isGreaterThan(none.service - 0.005);
    Trial alone =
        new Trial(
            day(),
            3,
            new Variant("alone", Variant.Before.LEVELS, ServiceLevel.LEAST, Map.of()),
            flat(2));
    assertThat(alone.objectiveMetShare.get("notice-send"))
        .isGreaterThan(none.objectiveMetShare.get("notice-send"));
    assertThat(alone.objectiveMetShare.get("status-refresh")).isZero();
  }
}

package switchgap.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** A process that was held up blames nobody: its pauses are told and taken out of spans. */
class PauseTest {
  private static Duration ms(long millis) {
    return Duration.ofMillis(millis);
  }

  @Test
  void aCheckThatComesMuchTooLateTellsOfAPauseAndThoseBehindItDoNot() {
    PauseDetector detector = new PauseDetector(ms(200), ms(0));
    assertThat(detector.heldUp(ms(210))).isZero();
    assertThat(detector.heldUp(ms(500))).as("late by 90 ms").isZero();
    assertThat(detector.heldUp(ms(2700))).isEqualTo(ms(2000));
    assertThat(detector.heldUp(ms(2701))).as("a check that was due long ago").isZero();
    assertThat(detector.heldUp(ms(2900))).isZero();
  }

  @Test
  void pausesAreTakenOutOfTheSpansThatTheyFallInto() {
    PauseHistory pauses = new PauseHistory();
    pauses.add(ms(3000), ms(2000));
    pauses.add(ms(3200), Duration.ZERO);
    assertThat(pauses.runningTime(ms(500), ms(3500))).isEqualTo(ms(1000));
    assertThat(pauses.runningTime(ms(2500), ms(3500))).as("begun in the pause").isEqualTo(ms(500));
    assertThat(pauses.runningTime(ms(3100), ms(3500))).as("begun after it").isEqualTo(ms(400));
  }

  @Test
  void noMoreThanSoManyPausesAreKept() {
    PauseHistory pauses = new PauseHistory();
    for (int i = 1; i <= 1000; i++) {
      pauses.add(ms(200L * i), ms(150));
    }
    assertThat(pauses.runningTime(ms(0), ms(200_000))).isEqualTo(ms(200_000 - 64 * 150));
  }
}

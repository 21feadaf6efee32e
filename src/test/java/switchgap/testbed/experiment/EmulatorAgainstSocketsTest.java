package switchgap.testbed.experiment;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import switchgap.testbed.emulator.EmulatedClients;
import switchgap.testbed.emulator.RequestTally;
import switchgap.testbed.scenario.InvariantChecker;
import switchgap.testbed.scenario.Scenario;
import switchgap.testbed.scenario.ScenarioRunner;

/**
 * The emulator and the stand-ins on sockets hold the same day to the same account: same arrivals,
 * one worker model, the program's own core. The band is wide enough for a machine that other work
 * fills, and far narrower than what variants differ by.
 */
class EmulatorAgainstSocketsTest {
  private static final double BAND = 0.08;
  @TempDir Path dir;

  private void same(int rate) throws Exception {
    Path f = SmallScenario.write(dir, 8, rate);
    EmulatedClients sockets =
        ScenarioRunner.play(
            f, dir.resolve("run-" + rate), null, new PrintStream(OutputStream.nullOutputStream()));
    assertThat(InvariantChecker.read(dir.resolve("run-" + rate)).violations()).isEmpty();
    Scenario day = Scenario.read(f);
    Emulator e = new Emulator(day, day.seed(), Variant.LEVELS, t -> 1);
    e.play(8, s -> {});
    for (var t : e.clients.tallies().entrySet()) {
      RequestTally a = t.getValue();
      RequestTally b = sockets.tallies().get(t.getKey());
      assertThat(b.requests()).isEqualTo(a.requests()); // the same arrivals
      assertThat(b.succeeded() / (double) b.requests())
          .isCloseTo(a.succeeded() / (double) a.requests(), within(BAND));
      assertThat((b.succeeded() - b.late()) / (double) b.requests())
          .isCloseTo((a.succeeded() - a.late()) / (double) a.requests(), within(BAND));
      assertThat(b.rejected() / (double) b.attempts())
          .isCloseTo(a.rejected() / (double) a.attempts(), within(2 * BAND));
    }
    assertThat(sockets.service()).isCloseTo(e.clients.service(), within(BAND));
  }

  @Test
  void aQuietDayIsTheSame() throws Exception {
    same(50);
  }

  @Test
  void aDayOfTooMuchIsTheSame() throws Exception {
    same(200);
  }
}

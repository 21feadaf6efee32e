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
 * The virtual-time test bed and the emulator on sockets give nearly the same results for the same
 * scenario: both have the same request arrivals, the same worker model and the production router
 * core. The tolerance allows for a machine that is busy with other work, but is far smaller than
 * the differences between variants.
 */
class VirtualTimeAgainstSocketsTest {
  private static final double TOLERANCE = 0.08;
  private static final int SECONDS = 8;

  @TempDir Path directory;

  private EmulatedClients runOnSockets(Path scenario) throws Exception {
    Path logs = directory.resolve("logs");
    PrintStream discarded = new PrintStream(OutputStream.nullOutputStream());
    EmulatedClients clients = ScenarioRunner.run(scenario, logs, null, discarded);
    assertThat(InvariantChecker.read(logs).violations()).isEmpty();
    return clients;
  }

  private static EmulatedClients runInVirtualTime(Path file) throws Exception {
    Scenario scenario = Scenario.read(file);
    VirtualTimeTestBed testBed =
        new VirtualTimeTestBed(scenario, scenario.seed(), Variant.LEVELS, elapsedMicros -> 1);
    testBed.run(SECONDS, second -> {});
    return testBed.clients();
  }

  private void assertSimilarService(int rate) throws Exception {
    Path scenario = SmallScenario.write(directory, SECONDS, rate);
    EmulatedClients clientsOnSockets = runOnSockets(scenario);
    EmulatedClients clientsInVirtualTime = runInVirtualTime(scenario);

    clientsInVirtualTime
        .tallies()
        .forEach(
            (name, expected) -> assertSimilarTally(clientsOnSockets.tallies().get(name), expected));
    assertThat(clientsOnSockets.service())
        .isCloseTo(clientsInVirtualTime.service(), within(TOLERANCE));
  }

  private static void assertSimilarTally(RequestTally actual, RequestTally expected) {
    assertThat(actual.requests()).isEqualTo(expected.requests()); // both get the same arrivals
    assertThat(share(actual.succeeded(), actual.requests()))
        .isCloseTo(share(expected.succeeded(), expected.requests()), within(TOLERANCE));
    assertThat(share(actual.succeeded() - actual.succeededLate(), actual.requests()))
        .isCloseTo(
            share(expected.succeeded() - expected.succeededLate(), expected.requests()),
            within(TOLERANCE));
    assertThat(share(actual.rejected(), actual.attempts()))
        .isCloseTo(share(expected.rejected(), expected.attempts()), within(2 * TOLERANCE));
  }

  private static double share(long part, long total) {
    return part / (double) total;
  }

  @Test
  void servesLowLoadAlikeInBothEnvironments() throws Exception {
    assertSimilarService(50);
  }

  @Test
  void servesOverloadAlikeInBothEnvironments() throws Exception {
    assertSimilarService(200);
  }
}

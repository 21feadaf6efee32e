package switchgap.testbed.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Set;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Short soak runs with few routers and seeds that exposed faults; the command runs long ones. */
class SoakTest {
  @TempDir Path directory;

  /**
   * Seed 1 draws failing accepts while requests wait; seed 4 draws pauses and request floods, and
   * has more clients. Both draw outages of the event stream during which workers drain, restart and
   * move. Seeds 2 and 6 draw shutdowns under load, with longest timeouts of 0.5 and 3 s.
   */
  @ParameterizedTest
  @CsvSource({"1,6,8", "4,6,8", "2,4,8", "6,4,8"})
  void keepsAllInvariantsForSeedThatOnceFailed(long seed, int routers, int seconds)
      throws Exception {
    String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
    String runCommand =
        "exec "
            + java
            + " -XX:+UseSerialGC -Xmx48m -Xss256k -XX:TieredStopAtLevel=1 -cp '"
            + System.getProperty("java.class.path")
            + "' switchgap.cli.Main serve";
    ByteArrayOutputStream report = new ByteArrayOutputStream();
    boolean allInvariantsHeld =
        Soak.run(
            new Soak.Options(
                seed, routers, seconds, SoakProfile.MIXED, Set.of(), runCommand, directory),
            new PrintStream(report, true, StandardCharsets.UTF_8));
    assertThat(allInvariantsHeld).as(report.toString(StandardCharsets.UTF_8)).isTrue();
  }
}

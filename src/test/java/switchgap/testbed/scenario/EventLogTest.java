package switchgap.testbed.scenario;

import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Truncated logs of a scenario are rejected, so that no check passes on part of a run. */
class EventLogTest {
  private static final String LAST_LINE_START = "{\"t\":9000000";
  @TempDir Path directory;

  private Path writeLogs(String log) throws IOException {
    new ScenarioLogWriter()
        .successfulAttempt(100, "j0.1", ScenarioLogWriter.IDEMPOTENT)
        .writeTo(directory);
    InvariantChecker.read(directory); // the complete logs are accepted
    return directory.resolve(log + ".jsonl");
  }

  @ParameterizedTest
  @ValueSource(strings = {"clients", "fleet", "list", "script"})
  void rejectsLogThatIsCutWithinLastLine(String log) throws IOException {
    Path file = writeLogs(log);
    byte[] complete = Files.readAllBytes(file);

    Files.write(file, Arrays.copyOf(complete, complete.length - 5));

    assertThatThrownBy(() -> InvariantChecker.read(directory))
        .isInstanceOf(IOException.class)
        .hasMessageContaining(log + ".jsonl:");
  }

  @ParameterizedTest
  @ValueSource(strings = {"clients", "fleet", "list", "script"})
  void rejectsLogWithoutLastLine(String log) throws IOException {
    Path file = writeLogs(log);
    String complete = Files.readString(file, StandardCharsets.UTF_8);

    Files.writeString(file, complete.substring(0, complete.lastIndexOf(LAST_LINE_START)));

    assertThatThrownBy(() -> InvariantChecker.read(directory))
        .isInstanceOf(IOException.class)
        .hasMessageContaining("truncated");
  }
}

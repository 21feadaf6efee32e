package switchgap.testbed.experiment;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.within;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import switchgap.config.InvalidConfigException;
import switchgap.config.YamlDocument;

/** Reading load curves from documents and CSV files, and the messages for invalid input. */
class LoadCurveReaderTest {
  private static final long MICROS_PER_SECOND = 1_000_000;

  @TempDir Path directory;

  private LoadCurve read(String document) throws Exception {
    return LoadCurveReader.read(
        "curve", YamlDocument.read("document", document), directory.resolve("document.yaml"));
  }

  private LoadCurve readCsv(String rows) throws Exception {
    Files.writeString(directory.resolve("curve.csv"), rows);
    return read("csv: curve.csv");
  }

  @Test
  void interpolatesBetweenPointsAndKeepsLoadAfterLastPoint() throws Exception {
    LoadCurve curve = read("points: [{at: 0s, load: 0.5}, {at: 10s, load: 1.5}]");

    assertThat(curve.seconds()).isEqualTo(10);
    assertThat(curve.loadAt(0)).isEqualTo(0.5);
    assertThat(curve.loadAt(5 * MICROS_PER_SECOND)).isCloseTo(1.0, within(1e-9));
    assertThat(curve.loadAt(20 * MICROS_PER_SECOND)).isEqualTo(1.5);
  }

  @Test
  void readsTheSameCurveFromCsv() throws Exception {
    LoadCurve curve = readCsv("seconds, load\n0, 0.5\n10, 1.5\n");

    assertThat(curve).isEqualTo(read("points: [{at: 0s, load: 0.5}, {at: 10s, load: 1.5}]"));
  }

  @Test
  void addsWaveAndNeverFallsBelowZero() throws Exception {
    LoadCurve curve =
        read(
            "points: [{at: 0s, load: 0.1}, {at: 40s, load: 0.1}]\n"
                + "waves: {every: 8s, by: 0.5}");

    assertThat(curve.loadAt(2 * MICROS_PER_SECOND)).isCloseTo(0.6, within(1e-9));
    assertThat(curve.loadAt(6 * MICROS_PER_SECOND)).isZero();
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "seconds;0                     | curve.csv:1: missing column load",
        "seconds,load;0,x              | curve.csv:2: load: 'x' is not a number",
        "seconds,load;0,1;5            | curve.csv:3: load: value is missing",
        "seconds,load;0,NaN            | curve.csv:2: load: must be a finite number",
        "seconds,load;0,101            | curve.csv:2: load: 101.0 must be between 0 and 100",
        "seconds,load;5,1;3,1          | curve.csv:3: seconds: must not be earlier than the"
            + " previous point",
        "seconds,load;0,1              | points: needs at least two points, here or in a csv file",
      })
  void rejectsInvalidCsvWithLineAndReason(String rows, String message) {
    String csv = rows.strip().replace(';', '\n') + "\n";

    assertThatThrownBy(() -> readCsv(csv))
        .isInstanceOf(InvalidConfigException.class)
        .hasMessageEndingWith(message);
  }
}

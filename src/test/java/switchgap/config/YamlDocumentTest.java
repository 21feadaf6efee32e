package switchgap.config;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import switchgap.server.gateway.GatewayConfig;

/** Each error in a YAML document is reported with file, line, key and what is allowed. */
class YamlDocumentTest {
  private static final String VALID_DOCUMENT =
      """
      router: {number: 0, of: 2, tick: 5ms}
      workloads:
        w: {start_target: 300ms, time_limit: 1.5s, repeat: run-once}
      functions:
        f*: {workload: w, memory: 10, lanes: 2}
        f1: {workload: w, memory: 20, lanes: 1}
      listen: {port: 0}
      list: {port: 9000}
      """;

  private static void assertRejected(String document, String message) {
    assertThatThrownBy(() -> GatewayConfig.read(YamlDocument.read("r.yaml", document)))
        .isInstanceOf(InvalidConfigException.class)
        .hasMessageStartingWith("r.yaml:")
        .hasMessageContaining(message);
  }

  /** Asserts that the valid document is rejected once a part of it is replaced. */
  private static void assertReplacementRejected(String part, String replacement, String message) {
    assertThat(VALID_DOCUMENT).contains(part);
    assertRejected(VALID_DOCUMENT.replace(part, replacement), message);
  }

  @Test
  void readsValidDocument() {
    GatewayConfig config = GatewayConfig.read(YamlDocument.read("r.yaml", VALID_DOCUMENT));
    assertThat(config.settings().requestTimeout(0)).isEqualTo(Duration.ofMillis(1500));
    assertThat(config.settings().function("f1").memoryMb()).isEqualTo(20);
    assertThat(config.settings().function("f22").memoryMb()).isEqualTo(10);
    assertThat(config.settings().function("g")).isNull();
  }

  @Test
  void namesFileLineKeyAndReasonOfInvalidValue() {
    assertReplacementRejected("of: 2", "of: many", "r.yaml:1: router: of: 'many' is no number");
    assertReplacementRejected(
        "number: 0", "number: 2", "r.yaml:1: router: number: '2' must lie from 0 to 1");
    assertReplacementRejected(
        "tick: 5ms", "tick: 5", "'5' is no span; write 250ms, 1.5s, 2m or 1h");
    assertReplacementRejected(
        "run-once",
        "sometimes",
        "r.yaml:3: w: repeat: 'sometimes' must be one of restartable, fingerprinted, run-once");
    assertReplacementRejected(
        "workload: w, memory: 20",
        "workload: x, memory: 20",
        "r.yaml:6: f1: workload: 'x' must be one of w");
    assertRejected(VALID_DOCUMENT + "rules: {cold_span: 0}\n", "cold_span: must be above 0");
  }

  @Test
  void rejectsValuesThatContradictEachOther() {
    assertReplacementRejected(
        "run-once", "fingerprinted", "a fingerprinted workload needs memory_span");
    assertReplacementRejected(
        "time_limit: 1.5s", "time_limit: 100ms", "must not be under the start target");
    assertReplacementRejected("list: {port: 9000}", "", "needs a port to ask, or workers");
  }

  @Test
  void rejectsAbsentUnknownAndRepeatedKeys() {
    assertReplacementRejected("lanes: 1}", "lines: 1}", "r.yaml:6: f1: key lanes is absent");
    assertReplacementRejected(
        "lanes: 1}",
        "lanes: 1, colour: red}",
        "r.yaml:6: f1: unknown key colour; allowed are customer");
    assertRejected(
        VALID_DOCUMENT + "listen: {port: 1}\n",
        "key listen stands twice in the page, first in line 7");
    assertRejected(VALID_DOCUMENT + "more: 1\n", "r.yaml:9: the page: unknown key more");
  }

  @Test
  void rejectsTextThatIsNoBoundedMapping() {
    assertRejected("a: [1, 2\nb: 3", "no YAML");
    assertRejected("", "the page is empty");
    assertRejected("- a\n- b\n", "must be a mapping");
    assertRejected("a: &x [1]\nb: [" + "*x,".repeat(50) + "]\nrouter: {}", "r.yaml");
  }
}

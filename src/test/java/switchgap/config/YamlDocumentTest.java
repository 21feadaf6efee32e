package switchgap.config;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import switchgap.server.gateway.GatewayConfig;

/**
 * Each error in a YAML document is reported with its file, line and key, and the allowed values.
 */
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

  /** Asserts that the valid document is rejected after a part of it was replaced. */
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
  void reportsFileLineKeyAndReasonForInvalidValue() {
    assertReplacementRejected(
        "of: 2", "of: many", "r.yaml:1: router: of: invalid value 'many': must be a number");
    assertReplacementRejected(
        "number: 0",
        "number: 2",
        "r.yaml:1: router: number: invalid value '2': must be between 0 and 1");
    assertReplacementRejected(
        "tick: 5ms",
        "tick: 5",
        "invalid value '5': must be a duration with a unit, such as 250ms, 1.5s, 2m or 1h");
    assertReplacementRejected(
        "run-once",
        "sometimes",
        "r.yaml:3: w: repeat: invalid value 'sometimes':"
            + " must be one of restartable, fingerprinted, run-once");
    assertReplacementRejected(
        "workload: w, memory: 20",
        "workload: x, memory: 20",
        "r.yaml:6: f1: workload: invalid value 'x': must be one of w");
    assertRejected(VALID_DOCUMENT + "rules: {cold_span: 0}\n", "cold_span: must be above 0");
  }

  @Test
  void rejectsContradictoryValues() {
    assertReplacementRejected(
        "run-once", "fingerprinted", "a fingerprinted workload needs memory_span");
    assertReplacementRejected(
        "time_limit: 1.5s", "time_limit: 100ms", "must not be shorter than start_target");
    assertReplacementRejected(
        "list: {port: 9000}", "", "must contain the port of the endpoint list service, or workers");
  }

  @Test
  void rejectsMissingUnknownAndDuplicateKeys() {
    assertReplacementRejected("lanes: 1}", "lines: 1}", "r.yaml:6: f1: missing key lanes");
    assertReplacementRejected(
        "lanes: 1}",
        "lanes: 1, colour: red}",
        "r.yaml:6: f1: unknown key colour; allowed keys are customer");
    assertRejected(
        VALID_DOCUMENT + "listen: {port: 1}\n",
        "duplicate key listen in the document, first defined on line 7");
    assertRejected(VALID_DOCUMENT + "more: 1\n", "r.yaml:9: the document: unknown key more");
  }

  @Test
  void rejectsInvalidEmptyNonMappingAndExcessivelyAliasedYaml() {
    assertRejected("a: [1, 2\nb: 3", "invalid YAML");
    assertRejected("", "the document is empty");
    assertRejected("- a\n- b\n", "must be a mapping");
    assertRejected("a: &x [1]\nb: [" + "*x,".repeat(50) + "]\nrouter: {}", "r.yaml");
  }
}

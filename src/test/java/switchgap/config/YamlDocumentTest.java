package switchgap.config;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import switchgap.server.gateway.GatewayConfig;

/** Each mistake on a page names file, line, key and what is allowed. */
class YamlDocumentTest {
    private static final String GOOD = """
        router: {number: 0, of: 2, tick: 5ms}
        workloads:
          w: {start_target: 300ms, time_limit: 1.5s, repeat: run-once}
        functions:
          f*: {workload: w, memory: 10, lanes: 2}
          f1: {workload: w, memory: 20, lanes: 1}
        listen: {port: 0}
        list: {port: 9000}
        """;

    private static void refused(String page, String message) {
        assertThatThrownBy(() -> GatewayConfig.read(YamlDocument.read("r.yaml", page))).isInstanceOf(
            InvalidConfigException.class).hasMessageStartingWith("r.yaml:").hasMessageContaining(message);
    }

    @Test void aGoodPage() {
        GatewayConfig p = GatewayConfig.read(YamlDocument.read("r.yaml", GOOD));
        assertThat(p.terms().requestTimeout(0)).isEqualTo(Duration.ofMillis(1500));
        assertThat(p.terms().function("f1").memoryMb()).isEqualTo(20);
        assertThat(p.terms().function("f22").memoryMb()).isEqualTo(10);
        assertThat(p.terms().function("g")).isNull();
    }

    @Test void mistakesAreNamed() {
        refused(GOOD.replace("of: 2", "of: many"), "r.yaml:1: router: of: 'many' is no number");
        refused(GOOD.replace("number: 0", "number: 2"), "r.yaml:1: router: number: '2' must lie from 0 to 1");
        refused(GOOD.replace("tick: 5ms", "tick: 5"), "'5' is no span; write 250ms, 1.5s, 2m or 1h");
        refused(GOOD.replace("run-once", "sometimes"),
            "r.yaml:3: w: repeat: 'sometimes' must be one of restartable, fingerprinted, run-once");
        refused(GOOD.replace("run-once", "fingerprinted"), "a fingerprinted workload needs memory_span");
        refused(GOOD.replace("workload: w, memory: 20", "workload: x, memory: 20"),
            "r.yaml:6: f1: workload: 'x' must be one of w");
        refused(GOOD.replace("lanes: 1}", "lines: 1}"), "r.yaml:6: f1: key lanes is absent");
        refused(GOOD.replace("lanes: 1}", "lanes: 1, colour: red}"),
            "r.yaml:6: f1: unknown key colour; allowed are customer");
        refused(GOOD.replace("time_limit: 1.5s", "time_limit: 100ms"), "must not be under the start target");
        refused(GOOD.replace("list: {port: 9000}", ""), "needs a port to ask, or workers");
        refused(GOOD + "listen: {port: 1}\n", "key listen stands twice in the page, first in line 7");
        refused(GOOD + "more: 1\n", "r.yaml:9: the page: unknown key more");
        refused("a: [1, 2\nb: 3", "no YAML");
        refused("", "the page is empty");
        refused("- a\n- b\n", "must be a mapping");
        refused("a: &x [1]\nb: [" + "*x,".repeat(50) + "]\nrouter: {}", "r.yaml");
        refused(GOOD + "rules: {cold_span: 0}\n", "cold_span: must be above 0");
    }
}

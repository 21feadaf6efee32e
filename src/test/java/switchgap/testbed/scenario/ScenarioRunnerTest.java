package switchgap.testbed.scenario;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Runs a short scenario over sockets, all in this process. Several faults are active at the same
 * time while the invariants have to hold.
 */
class ScenarioRunnerTest {
  @TempDir Path directory;

  @Test
  void keepsInvariantsWhileFaultsOverlap() throws Exception {
    Path file = directory.resolve("short.yaml");
    Files.writeString(
        file,
        """
        day: {length: 6s, seed: 5, slack: 60ms, tick: 20ms}
        zones: [a, b]
        fleet:
          {workers: 6, keep_alive: 8s, kinds: {k: {share: 1, cores: 2, speed: 1, memory: 5000}}}
        list: {lag: 300ms}
        routers: {count: 2, busiest: 0.7, processes: one, executions: 3}
        load: {rate: 40, functions: 6}
        workloads:
          status-refresh: {share: 0.6, start_target: 400ms, time_limit: 2s, repeat: restartable,
            memory: 400, lanes: 2, load: 300ms, work: 30ms}
          notice-send: {share: 0.4, start_target: 800ms, time_limit: 2s, importance: 2,
            repeat: run-once, memory: 400, lanes: 2, load: 300ms, work: 30ms}
        customers: {x: {rate: 40, share: 0.5}, y: {rate: 40, share: 0.5}}
        rules: {drain_grace: 500ms, cold_share: 0.3, cold_span: 5s, fall_multiple: 3, fall_span: 1s,
          loads_free: 3, loads_share: 0.5, loads_span: 5s}
        script:
          - {at: 1s, trouble: answers-lost, part: 0.5, size: 0.2, lasts: 3s}
          - {at: 1500ms, trouble: drain, part: 0.2, size: 1}
          - {at: 2s, trouble: reset-mid-answer, part: 0.5, size: 0.2, lasts: 2s}
          - {at: 2500ms, trouble: closed-at-request, part: 0.3, size: 0.2, lasts: 2s}
          - {at: 3s, trouble: hot-functions, part: 0.2, size: 1, lasts: 2s}
          - {at: 4s, trouble: workers-killed, part: 0.2, lasts: 500ms}
        """);

    PrintStream out = new PrintStream(new ByteArrayOutputStream());
    ScenarioRunner.run(file, directory.resolve("out"), null, out);

    InvariantChecker checker = InvariantChecker.read(directory.resolve("out"));
    assertThat(checker.violations()).isEmpty();
    ByteArrayOutputStream report = new ByteArrayOutputStream();
    checker.print(new PrintStream(report));
    assertThat(report.toString(UTF_8))
        .contains("finished=")
        .containsPattern("[1-9]\\d* drain notifications")
        .containsPattern("[1-9]\\d* cold starts")
        .containsPattern("[1-9]\\d* load commands");
  }
}

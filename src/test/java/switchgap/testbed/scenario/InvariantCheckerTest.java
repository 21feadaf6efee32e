package switchgap.testbed.scenario;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import switchgap.testbed.invariant.Invariant;

/**
 * The checker finds one planted violation of each invariant, passes logs without one, and refuses
 * one cut off.
 */
class InvariantCheckerTest {
  private static final String SCENARIO =
      """
      day: {length: 5s, seed: 1, slack: 10ms}
      fleet: {workers: 1, kinds: {k: {share: 1, cores: 1, speed: 1, memory: 100}}}
      routers: {count: 1}
      load: {rate: 1}
      workloads:
        again: {share: 0.5, start_target: 400ms, time_limit: 1s, repeat: restartable, memory: 1, lanes: 1, load: 1s, work: 100ms}
        once: {share: 0.5, start_target: 400ms, time_limit: 1s, repeat: run-once, memory: 1, lanes: 1, load: 1s, work: 100ms}
      customers: {a: {rate: 1, share: 1}}
      rules: {drain_grace: 500ms, cold_share: 0.2, cold_span: 10s, fall_multiple: 2, fall_span: 1s, loads_free: 1, loads_share: 0.5, loads_span: 5s}
      """;
  private static final long MICROS_PER_MILLI = 1000;
  private static final long TIMEOUT_MILLIS = 1000;
  private static final long END_MILLIS = 9000;
  @TempDir Path directory;
  private final List<String> clients = new ArrayList<>();
  private final List<String> fleet = new ArrayList<>();
  private final List<String> list = new ArrayList<>();
  private final List<String> script = new ArrayList<>();

  private static String line(long atMillis, String what, String rest) {
    return "{\"t\":"
        + atMillis * MICROS_PER_MILLI
        + ",\"what\":\""
        + what
        + "\""
        + (rest.isEmpty() ? "" : "," + rest)
        + "}";
  }

  private void sendAttempt(long atMillis, String call, int workload) {
    clients.add(
        line(
            atMillis,
            "call",
            "\"call\":\""
                + call
                + "\",\"job\":\""
                + call.split("\\.")[0]
                + "\",\"router\":0,\"workload\":"
                + workload
                + ",\"limit\":"
                + (atMillis + TIMEOUT_MILLIS) * MICROS_PER_MILLI));
  }

  private void endAttempt(long atMillis, String call, String end) {
    clients.add(line(atMillis, "answer", "\"call\":\"" + call + "\",\"end\":\"" + end + "\""));
  }

  private void execute(long atMillis, String call, String execution, boolean ran) {
    fleet.add(
        line(
            atMillis,
            "infer",
            "\"worker\":\"w0\",\"router\":0,\"run\":\""
                + execution
                + "\",\"call\":\""
                + call
                + "\",\"work\":100000"));
    if (ran) {
      fleet.add(
          line(
              atMillis,
              "ran",
              "\"worker\":\"w0\",\"run\":\"" + execution + "\",\"call\":\"" + call + "\""));
    }
  }

  private void endExecution(long atMillis, String execution) {
    fleet.add(
        line(atMillis, "answer", "\"worker\":\"w0\",\"run\":\"" + execution + "\",\"status\":200"));
  }

  private void write(String log, List<String> lines) throws IOException {
    List<String> withEnd = new ArrayList<>(lines);
    withEnd.add(line(END_MILLIS, "end", ""));
    Files.write(directory.resolve(log), withEnd);
  }

  private InvariantChecker check() throws IOException {
    Files.writeString(directory.resolve("day.yaml"), SCENARIO);
    write("clients.jsonl", clients);
    write("fleet.jsonl", fleet);
    write("list.jsonl", list);
    write("script.jsonl", script);
    return InvariantChecker.read(directory);
  }

  private void assertViolated(Invariant invariant, String description) throws IOException {
    InvariantChecker checker = check();
    assertThat(checker.violations()).hasSize(1);
    assertThat(checker.violations().get(0).invariant()).isEqualTo(invariant);
    assertThat(checker.violations().get(0).description()).contains(description);
  }

  private void goodAttempt(long atMillis, String call, int workload) {
    sendAttempt(atMillis, call, workload);
    execute(atMillis + 1, call, call + ".0", true);
    endExecution(atMillis + 100, call + ".0");
    endAttempt(atMillis + 101, call, "finished");
  }

  @Test
  void keepsAllInvariantsInAScenarioWithoutViolation() throws IOException {
    goodAttempt(100, "j0.1", 0);
    goodAttempt(300, "j1.1", 1);
    sendAttempt(500, "j2.1", 1);
    execute(501, "j2.1", "x", true); // its answer was lost
    endAttempt(1490, "j2.1", "killed");
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    InvariantChecker checker = check();
    checker.print(new PrintStream(out));
    assertThat(checker.violations()).isEmpty();
    assertThat(out.toString(UTF_8))
        .contains("answers       kept    3 calls; {finished=2, killed=1}");
  }

  @Test
  void reportsAnAttemptWithoutAFinalResponse() throws IOException {
    sendAttempt(100, "j0.1", 0);
    endAttempt(1100, "j0.1", "gave-up");
    assertViolated(Invariant.FINAL_RESPONSE_IN_TIME, "j0.1 got no final answer");
  }

  @Test
  void allowsAMissingResponseWhereTheRouterWasKilled() throws IOException {
    sendAttempt(100, "j0.1", 0);
    endAttempt(300, "j0.1", "broken");
    script.add(line(300, "router-killed", "\"router\":0"));
    assertThat(check().violations()).isEmpty();
  }

  @Test
  void reportsAResponseAfterTheDeadlineAndItsSlack() throws IOException {
    sendAttempt(100, "j0.1", 0);
    endAttempt(1100, "j0.1", "gave-up");
    clients.add(line(1150, "late-answer", "\"call\":\"j0.1\",\"end\":\"finished\""));
    assertViolated(Invariant.FINAL_RESPONSE_IN_TIME, "50 ms after its limit");
    clients.set(2, line(1105, "late-answer", "\"call\":\"j0.1\",\"end\":\"finished\""));
    assertThat(check().violations()).isEmpty(); // within the slack
  }

  @Test
  void reportsAnExecutionSentAfterTheFinalResponse() throws IOException {
    goodAttempt(100, "j0.1", 0);
    execute(400, "j0.1", "y", false);
    endExecution(401, "y");
    assertViolated(Invariant.FINAL_RESPONSE_IN_TIME, "199 ms after its end");
  }

  @Test
  void reportsARunOnceRequestThatTookEffectTwice() throws IOException {
    goodAttempt(100, "j0.1", 1);
    clients.remove(clients.size() - 1);
    endAttempt(250, "j0.1", "finished");
    execute(210, "j0.1", "z", true);
    endExecution(220, "z");
    assertViolated(Invariant.NO_DUPLICATE_EFFECT, "j0 took effect 2 times");
  }

  @Test
  void reportsARejectionOfARunOnceRequestThatRan() throws IOException {
    sendAttempt(100, "j0.1", 1);
    execute(101, "j0.1", "x", true);
    endAttempt(900, "j0.1", "pushed-back");
    assertViolated(Invariant.NO_DUPLICATE_EFFECT, "pushed back though an execution ran");
  }

  @Test
  void reportsTwoExecutionsInFlight() throws IOException {
    sendAttempt(100, "j0.1", 0);
    execute(101, "j0.1", "x", true);
    execute(150, "j0.1", "y", true);
    endExecution(200, "x");
    endExecution(201, "y");
    endAttempt(210, "j0.1", "finished");
    assertViolated(Invariant.NO_DUPLICATE_EFFECT, "had two executions out");
  }

  @Test
  void reportsASendPastTheDrainGrace() throws IOException {
    list.add(line(1000, "told", "\"router\":0,\"worker\":\"w0\",\"state\":\"draining\""));
    goodAttempt(1400, "j0.1", 0); // within the grace
    goodAttempt(1600, "j1.1", 0);
    assertViolated(Invariant.NO_SEND_TO_DRAINING_WORKER, "601 ms after it was told");
  }

  @Test
  void reportsAColdWorkerSentMoreThanItsBudget() throws IOException {
    fleet.add(line(0, "started", "\"worker\":\"w0\",\"cold\":true,\"cores\":1,\"speed\":1.0"));
    for (int i = 0; i < 6; i++) {
      goodAttempt(100 + i * 150, "j" + i + ".1", 0);
    } // 0.6 s of work; it bears 0.54
    assertViolated(Invariant.SLOW_START, "% of its budget");
  }

  @Test
  void reportsALoadCommandOverTheRation() throws IOException {
    goodAttempt(100, "j0.1", 0);
    goodAttempt(200, "j1.1", 0);
    for (int i = 0; i < 3; i++) {
      fleet.add(
          line(400 + i, "load", "\"worker\":\"w0\",\"router\":0,\"function\":\"f\",\"copies\":1"));
    }
    assertViolated(Invariant.LOAD_QUOTA, "ordered 3 loads where 2.0 are its ration");
  }

  @Test
  void refusesALogThatIsCutOff() throws IOException {
    goodAttempt(100, "j0.1", 0);
    check();
    for (String log : List.of("clients", "fleet", "list", "script")) {
      Path file = directory.resolve(log + ".jsonl");
      byte[] whole = Files.readAllBytes(file);
      Files.write(file, Arrays.copyOf(whole, whole.length - 5));
      assertThatThrownBy(() -> InvariantChecker.read(directory))
          .isInstanceOf(IOException.class)
          .hasMessageContaining(log + ".jsonl:");
      Files.write(
          file,
          Arrays.copyOf(
              whole, Math.max(0, new String(whole, UTF_8).lastIndexOf("{\"t\":9000000"))));
      assertThatThrownBy(() -> InvariantChecker.read(directory))
          .isInstanceOf(IOException.class)
          .hasMessageContaining("cut off");
      Files.write(file, whole);
    }
  }
}

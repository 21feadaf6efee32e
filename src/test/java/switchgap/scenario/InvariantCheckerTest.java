package switchgap.scenario;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The checker finds one planted violation of each rule, passes a log without one, and refuses a log cut off. */
class InvariantCheckerTest {
    private static final String DAY = """
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
    @TempDir Path dir;
    private final List<String> clients = new ArrayList<>();
    private final List<String> fleet = new ArrayList<>();
    private final List<String> list = new ArrayList<>();
    private final List<String> script = new ArrayList<>();

    private static String line(long ms, String what, String rest) {
        return "{\"t\":" + ms * 1000 + ",\"what\":\"" + what + "\"" + (rest.isEmpty() ? "" : "," + rest)
            + "}";
    }

    private void call(long ms, String call, int workload) {
        clients.add(line(ms, "call",
            "\"call\":\"" + call + "\",\"job\":\"" + call.split("\\.")[0] + "\",\"router\":0,\"workload\":"
                + workload + ",\"limit\":" + (ms + 1000) * 1000));
    }

    private void answer(long ms, String call, String end) {
        clients.add(line(ms, "answer", "\"call\":\"" + call + "\",\"end\":\"" + end + "\""));
    }

    private void infer(long ms, String call, String run, boolean ran) {
        fleet.add(line(ms, "infer", "\"worker\":\"w0\",\"router\":0,\"run\":\"" + run + "\",\"call\":\""
            + call + "\",\"work\":100000"));
        if (ran) {
            fleet.add(line(ms, "ran", "\"worker\":\"w0\",\"run\":\"" + run + "\",\"call\":\"" + call + "\""));
        }
    }

    private void done(long ms, String run) {
        fleet.add(line(ms, "answer", "\"worker\":\"w0\",\"run\":\"" + run + "\",\"status\":200"));
    }

    private void write(Path at, List<String> lines, boolean end) throws IOException {
        List<String> all = new ArrayList<>(lines);
        if (end) { all.add(line(9000, "end", "")); }
        Files.write(at, all);
    }

    private InvariantChecker check() throws IOException {
        Files.writeString(dir.resolve("day.yaml"), DAY);
        write(dir.resolve("clients.jsonl"), clients, true);
        write(dir.resolve("fleet.jsonl"), fleet, true);
        write(dir.resolve("list.jsonl"), list, true);
        write(dir.resolve("script.jsonl"), script, true);
        return InvariantChecker.read(dir);
    }

    private void broken(InvariantChecker.Invariant rule, String what) throws IOException {
        InvariantChecker c = check();
        assertThat(c.violations()).hasSize(1);
        assertThat(c.violations().get(0).rule()).isEqualTo(rule);
        assertThat(c.violations().get(0).what()).contains(what);
    }

    private void goodCall(long ms, String call, int workload) {
        call(ms, call, workload);
        infer(ms + 1, call, call + ".0", true);
        done(ms + 100, call + ".0");
        answer(ms + 101, call, "finished");
    }

    @Test void aDayWithoutViolationIsKept() throws IOException {
        goodCall(100, "j0.1", 0);
        goodCall(300, "j1.1", 1);
        call(500, "j2.1", 1);
        infer(501, "j2.1", "x", true); // its answer was lost
        answer(1490, "j2.1", "killed");
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        InvariantChecker c = check();
        c.print(new PrintStream(out));
        assertThat(c.violations()).isEmpty();
        assertThat(out.toString()).contains("answers       kept    3 calls; {finished=2, killed=1}");
    }

    @Test void noAnswer() throws IOException {
        call(100, "j0.1", 0);
        answer(1100, "j0.1", "gave-up");
        broken(InvariantChecker.Invariant.ANSWERS, "j0.1 got no final answer");
    }

    @Test void noAnswerIsRightWhereTheRouterWasKilled() throws IOException {
        call(100, "j0.1", 0);
        answer(300, "j0.1", "broken");
        script.add(line(300, "router-killed", "\"router\":0"));
        assertThat(check().violations()).isEmpty();
    }

    @Test void aLateAnswer() throws IOException {
        call(100, "j0.1", 0);
        answer(1100, "j0.1", "gave-up");
        clients.add(line(1150, "late-answer", "\"call\":\"j0.1\",\"end\":\"finished\""));
        broken(InvariantChecker.Invariant.ANSWERS, "50 ms after its limit");
        clients.set(2, line(1105, "late-answer", "\"call\":\"j0.1\",\"end\":\"finished\""));
        assertThat(check().violations()).isEmpty(); // within the slack
    }

    @Test void aSendAfterTheAnswer() throws IOException {
        goodCall(100, "j0.1", 0);
        infer(400, "j0.1", "y", false);
        done(401, "y");
        broken(InvariantChecker.Invariant.ANSWERS, "199 ms after its end");
    }

    @Test void aRunOnceJobThatRanTwice() throws IOException {
        goodCall(100, "j0.1", 1);
        clients.remove(clients.size() - 1);
        answer(250, "j0.1", "finished");
        infer(210, "j0.1", "z", true);
        done(220, "z");
        broken(InvariantChecker.Invariant.REPEATS, "j0 took effect 2 times");
    }

    @Test void aPushbackOfARunOnceJobThatRan() throws IOException {
        call(100, "j0.1", 1);
        infer(101, "j0.1", "x", true);
        answer(900, "j0.1", "pushed-back");
        broken(InvariantChecker.Invariant.REPEATS, "pushed back though an execution ran");
    }

    @Test void twoExecutionsOut() throws IOException {
        call(100, "j0.1", 0);
        infer(101, "j0.1", "x", true);
        infer(150, "j0.1", "y", true);
        done(200, "x");
        done(201, "y");
        answer(210, "j0.1", "finished");
        broken(InvariantChecker.Invariant.REPEATS, "had two executions out");
    }

    @Test void aSendPastTheGrace() throws IOException {
        list.add(line(1000, "told", "\"router\":0,\"worker\":\"w0\",\"state\":\"draining\""));
        goodCall(1400, "j0.1", 0); // within the grace
        goodCall(1600, "j1.1", 0);
        broken(InvariantChecker.Invariant.DRAINS, "601 ms after it was told");
    }

    @Test void aColdWorkerPushedOver() throws IOException {
        fleet.add(line(0, "started", "\"worker\":\"w0\",\"cold\":true,\"cores\":1,\"speed\":1.0"));
        for (int i = 0; i < 6; i++) { goodCall(100 + i * 150, "j" + i + ".1", 0); } // 0.6 s of work; it bears 0.54
        broken(InvariantChecker.Invariant.COLD_WORKERS, "% of its budget");
    }

    @Test void anOrderOverTheRation() throws IOException {
        goodCall(100, "j0.1", 0);
        goodCall(200, "j1.1", 0);
        for (int i = 0; i < 3; i++) {
            fleet.add(
                line(400 + i, "load", "\"worker\":\"w0\",\"router\":0,\"function\":\"f\",\"copies\":1"));
        }
        broken(InvariantChecker.Invariant.RATION, "ordered 3 loads where 2.0 are its ration");
    }

    @Test void aLogCutOffIsRefused() throws IOException {
        goodCall(100, "j0.1", 0);
        check();
        for (String log : List.of("clients", "fleet", "list", "script")) {
            Path f = dir.resolve(log + ".jsonl");
            byte[] whole = Files.readAllBytes(f);
            Files.write(f, java.util.Arrays.copyOf(whole, whole.length - 5));
            assertThatThrownBy(() -> InvariantChecker.read(dir)).isInstanceOf(
                IOException.class).hasMessageContaining(log + ".jsonl:");
            Files.write(f,
                java.util.Arrays.copyOf(whole, Math.max(0, new String(whole).lastIndexOf("{\"t\":9000000"))));
            assertThatThrownBy(() -> InvariantChecker.read(dir)).isInstanceOf(
                IOException.class).hasMessageContaining("cut off");
            Files.write(f, whole);
        }
    }
}

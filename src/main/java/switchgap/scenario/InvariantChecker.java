package switchgap.scenario;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Judges the five rules of a played day from what passed on the stand-ins' and clients' sockets. What a router says
 * of itself is no evidence. A log that does not end with its last line is refused.
 */
public final class InvariantChecker {
    /** The rules, as rows of the table. */
    public enum Invariant {
        ANSWERS, REPEATS, DRAINS, COLD_WORKERS, RATION
    }

    /** A broken rule: which call or worker, and the lines of the logs that show it. */
    public record Violation(Invariant rule, String what) {}

    private static final int MOST_SHOWN = 20;
    private static final long NEVER = Long.MAX_VALUE / 2; // spans are added to it
    private static final ObjectMapper JSON = new ObjectMapper();

    private static final class ClientAttempt {
        String call, job, end;
        int router, workload;
        long sent, limit, answered = -1;
        int answerLine, callLine, finals;
        final List<WorkerAttempt> runs = new ArrayList<>(1);
    }

    private static final class WorkerAttempt {
        String worker, run;
        int router, line;
        long t;
        long over = Long.MAX_VALUE;
        boolean ran;
    }

    private record LogLine(int number, JsonNode n) {
        long t() { return n.get("t").asLong(); }

        String text(String name) { return n.path(name).asText(""); }

        int whole(String name) { return n.path(name).asInt(-1); }
    }

    private final Scenario day;
    private final Map<String, ClientAttempt> tries = new LinkedHashMap<>();
    private final Map<String, WorkerAttempt> runs = new HashMap<>();
    private final List<Violation> violations = new ArrayList<>();
    private final List<List<Long>> taken = new ArrayList<>();
    private final List<List<long[]>> away = new ArrayList<>();
    private final List<List<long[]>> pauses = new ArrayList<>();
    private final Map<String, Integer> ends = new java.util.TreeMap<>();
    private int executions, ran, twice, ordersSeen, drainsTold, repeatsDropped, coldWorkers, fellDue,
        withinSlack;
    private long latestAfterDrain = -1;
    private double coldMost, rationMost;

    private InvariantChecker(Scenario day) { this.day = day; }

    /** Reads the folder of a played day. Throws when a log is missing, cut off or unreadable. */
    public static InvariantChecker read(Path dir) throws IOException {
        InvariantChecker c = new InvariantChecker(Scenario.read(dir.resolve("day.yaml")));
        for (int i = 0; i < c.day.routers; i++) {
            c.taken.add(new ArrayList<>());
            c.away.add(new ArrayList<>());
            c.pauses.add(new ArrayList<>());
        }
        List<LogLine> script = lines(dir.resolve("script.jsonl"));
        List<LogLine> clients = lines(dir.resolve("clients.jsonl"));
        List<LogLine> fleet = lines(dir.resolve("fleet.jsonl"));
        List<LogLine> list = lines(dir.resolve("list.jsonl"));
        c.script(script);
        c.clients(clients);
        c.fleet(fleet);
        c.answers();
        c.repeats();
        c.drains(list, fleet);
        c.cold(fleet);
        c.ration(fleet);
        return c;
    }

    /** All lines of a log whose last one is its end. */
    private static List<LogLine> lines(Path file) throws IOException {
        List<LogLine> all = new ArrayList<>();
        try (BufferedReader in = Files.newBufferedReader(file)) {
            for (String s = in.readLine(); s != null; s = in.readLine()) {
                try {
                    JsonNode n = JSON.readTree(s);
                    if (n == null || !n.path("t").isNumber() || !n.path("what").isTextual()) {
                        throw new IOException("no time or kind");
                    }
                    all.add(new LogLine(all.size() + 1, n));
                } catch (IOException e) {
                    throw new IOException(
                        file + ":" + (all.size() + 1) + ": unusable line: " + e.getMessage());
                }
            }
        }
        if (all.isEmpty() || !all.get(all.size() - 1).text("what").equals("end")) {
            throw new IOException(
                file + ":" + all.size() + ": the log is cut off: its last line is not the end");
        }
        return all;
    }

    private void script(List<LogLine> lines) {
        for (LogLine l : lines) {
            int r = l.whole("router");
            switch (l.text("what")) {
                case "router-killed" -> away.get(r).add(new long[] {l.t(), NEVER});
                case "router-paused" -> pauses.get(r).add(new long[] {l.t(), NEVER});
                case "router-resumed" -> pauses.get(r).get(pauses.get(r).size() - 1)[1] = l.t();
                case "router-started" -> away.get(r).get(away.get(r).size() - 1)[1] = l.t();
                default -> {}
            }
        }
    }

    private void clients(List<LogLine> lines) {
        for (LogLine l : lines) {
            String call = l.text("call");
            switch (l.text("what")) {
                case "call" -> {
                    ClientAttempt t = new ClientAttempt();
                    t.call = call;
                    t.job = l.text("job");
                    t.router = l.whole("router");
                    t.workload = l.whole("workload");
                    t.sent = l.t();
                    t.limit = l.n().get("limit").asLong();
                    t.callLine = l.number();
                    tries.put(call, t);
                    taken.get(t.router).add(t.sent);
                }
                case "answer" -> {
                    ends.merge(l.text("end"), 1, Integer::sum);
                    ClientAttempt t = tries.get(call);
                    if (t != null) {
                        t.end = l.text("end");
                        t.answered = l.t();
                        t.answerLine = l.number();
                        if (List.of("finished", "pushed-back", "killed", "refused").contains(t.end)) {
                            t.finals++;
                        }
                    }
                }
                case "late-answer" -> {
                    ClientAttempt t = tries.get(call);
                    if (t == null) { continue; }
                    t.finals++;
                    long by = l.t() - t.limit;
                    if (by <= day.slack) { // the clocks and threads of one machine
                        withinSlack++;
                        t.end = l.text("end");
                    } else {
                        broken(Invariant.ANSWERS,
                            call + " got an answer " + by / 1000 + " ms after its limit, clients.jsonl:"
                                + l.number());
                    }
                }
                default -> {}
            }
        }
    }

    private void fleet(List<LogLine> lines) {
        Map<String, List<WorkerAttempt>> at = new HashMap<>();
        for (LogLine l : lines) {
            String run = l.text("run");
            switch (l.text("what")) {
                case "infer" -> {
                    WorkerAttempt s = new WorkerAttempt();
                    s.worker = l.text("worker");
                    s.run = run;
                    s.router = l.whole("router");
                    s.line = l.number();
                    s.t = l.t();
                    runs.put(run, s);
                    at.computeIfAbsent(s.worker, k -> new ArrayList<>()).add(s);
                    executions++;
                    ClientAttempt t = tries.get(l.text("call"));
                    if (t != null) { t.runs.add(s); }
                }
                case "ran" -> {
                    ran++;
                    WorkerAttempt s = runs.get(run);
                    if (s != null) { s.ran = true; }
                }
                case "repeat-dropped" -> repeatsDropped++;
                case "ended" -> { // the process died: its connections were cut, so what it had is over
                    for (WorkerAttempt s : at.getOrDefault(l.text("worker"), List.of())) {
                        s.over = Math.min(s.over, l.t());
                    }
                    at.remove(l.text("worker"));
                }
                case "answer", "left" -> {
                    WorkerAttempt s = runs.get(run);
                    boolean lost = l.text("fault").equals("lost") || l.text("fault").equals("late")
                        || l.text("fault").equals("half");
                    if (s != null && !lost) { s.over = Math.min(s.over, l.t()); }
                }
                default -> {}
            }
        }
    }

    private void broken(Invariant r, String what) { violations.add(new Violation(r, what)); }

    private boolean wasAway(int router, long from, long to) {
        return away.get(router).stream().anyMatch(a -> a[0] - day.slack <= to && a[1] + day.slack >= from);
    }

    /** A router stopped by a signal can't answer what falls due meanwhile; silence is right then, a late answer is not. */
    private boolean fellDueInPause(ClientAttempt t) {
        boolean was = pauses.get(t.router).stream().anyMatch(
            a -> a[0] <= t.limit + day.slack && a[1] + day.slack >= t.limit);
        fellDue += was ? 1 : 0;
        return was;
    }

    /** Rule 1: one final answer, before the limit, and nothing sent for the call after it. */
    private void answers() {
        for (ClientAttempt t : tries.values()) {
            if (t.finals == 0 && !"unreachable".equals(t.end) && !wasAway(t.router, t.sent, t.limit)
                && !fellDueInPause(t)) {
                broken(Invariant.ANSWERS,
                    t.call + " got no final answer (" + t.end + "), clients.jsonl:" + t.callLine);
            }
            if (t.finals > 1) {
                broken(Invariant.ANSWERS,
                    t.call + " got " + t.finals + " final answers, clients.jsonl:" + t.answerLine);
            }
            for (WorkerAttempt s : t.runs) {
                long after = t.finals > 0 ? t.answered : t.limit;
                if (s.t > after + day.slack) {
                    broken(Invariant.ANSWERS,
                        t.call + " was sent " + (s.t - after) / 1000 + " ms after its end, fleet.jsonl:"
                            + s.line);
                }
            }
        }
    }

    /** Rule 2: no effect twice, no harmless-to-repeat answer where an execution ran, one execution at a time. */
    private void repeats() {
        Map<String, List<String>> byJob = new HashMap<>();
        for (ClientAttempt t : tries.values()) {
            String kind = day.repeats.get(t.workload);
            for (int i = 0; i < t.runs.size(); i++) {
                WorkerAttempt s = t.runs.get(i);
                if (s.ran) {
                    byJob.computeIfAbsent(t.job, k -> new ArrayList<>()).add("fleet.jsonl:" + s.line);
                }
                for (int k = 0; k < i; k++) {
                    if (t.runs.get(k).over > s.t + day.slack) {
                        broken(Invariant.REPEATS,
                            t.call + " had two executions out, fleet.jsonl:" + t.runs.get(k).line + " and :"
                                + s.line);
                    }
                }
            }
            boolean mayHave = t.runs.stream().anyMatch(s -> s.ran);
            if (kind.equals("run-once") && "pushed-back".equals(t.end) && mayHave) {
                broken(Invariant.REPEATS,
                    t.call + " was pushed back though an execution ran, clients.jsonl:" + t.answerLine);
            }
        }
        for (ClientAttempt t : tries.values()) {
            List<String> at = byJob.remove(t.job);
            if (at != null && at.size() > 1 && !day.repeats.get(t.workload).equals("restartable")) {
                twice++;
                broken(Invariant.REPEATS,
                    t.job + " took effect " + at.size() + " times: " + String.join(", ", at));
            }
        }
    }

    /** Rule 3: nothing new past the grace after the list told this router that a worker drains or is gone. */
    private void drains(List<LogLine> list, List<LogLine> fleet) {
        Map<String, Long> told = new HashMap<>();
        int at = 0;
        for (LogLine l : fleet) {
            if (!l.text("what").equals("infer") && !l.text("what").equals("load")) { continue; }
            for (; at < list.size() && list.get(at).t() <= l.t(); at++) { tell(list.get(at), told); }
            Long since = told.get(l.whole("router") + " " + l.text("worker"));
            if (since == null) { continue; }
            latestAfterDrain = Math.max(latestAfterDrain, l.t() - since);
            if (l.t() - since > day.grace + day.slack) {
                broken(Invariant.DRAINS,
                    l.text("worker") + " got " + l.text("what") + " from router " + l.whole("router") + " "
                        + (l.t() - since) / 1000 + " ms after it was told, fleet.jsonl:" + l.number());
            }
        }
        for (; at < list.size(); at++) { tell(list.get(at), told); }
    }

    private void tell(LogLine l, Map<String, Long> told) {
        if (!l.text("what").equals("told")) { return; }
        String key = l.whole("router") + " " + l.text("worker");
        if (l.text("state").equals("ready")) {
            told.remove(key);
        } else if (told.putIfAbsent(key, l.t()) == null) {
            drainsTold++;
        }
    }

    /** Rule 4: the work sent to a cold worker within any span, over multiple times what it can do, times the span. */
    private void cold(List<LogLine> fleet) {
        record Cold(long started, double full, ArrayDeque<double[]> came, double[] sum) {}
        Map<String, Cold> now = new HashMap<>();
        for (LogLine l : fleet) {
            String w = l.text("worker");
            if (l.text("what").equals("started")) {
                now.remove(w);
                if (l.n().path("cold").asBoolean()) {
                    coldWorkers++;
                    now.put(w,
                        new Cold(l.t(), l.whole("cores") * l.n().get("speed").asDouble(), new ArrayDeque<>(),
                            new double[1]));
                }
            } else if (l.text("what").equals("fell")) {
                broken(Invariant.COLD_WORKERS, w + " fell over, fleet.jsonl:" + l.number());
            } else if (l.text("what").equals("infer") && now.containsKey(w)) {
                Cold c = now.get(w);
                if (l.t() - c.started > day.coldSpan) {
                    now.remove(w);
                    continue;
                }
                double work = l.n().get("work").asDouble();
                c.came.add(new double[] {l.t(), work});
                c.sum[0] += work;
                while (l.t() - c.came.peek()[0] > day.fallSpan) { c.sum[0] -= c.came.poll()[1]; }
                double warm = day.coldShare + (1 - day.coldShare) * (l.t() - c.started) / day.coldSpan;
                double used = c.sum[0] / (c.full * Math.min(1, warm) * day.fallSpan * day.fallMultiple);
                coldMost = Math.max(coldMost, used);
                if (used > 1) {
                    broken(Invariant.COLD_WORKERS,
                        w + " was sent " + Math.round(used * 100) + "% of its budget, fleet.jsonl:"
                            + l.number());
                }
            }
        }
    }

    /** Rule 5: load orders of each router within its span, against the calls it took in that span. */
    private void ration(List<LogLine> fleet) {
        List<ArrayDeque<Long>> orders = new ArrayList<>();
        for (int i = 0; i < day.routers; i++) { orders.add(new ArrayDeque<>()); }
        for (LogLine l : fleet) {
            int r = l.whole("router");
            if (!l.text("what").equals("load") || l.whole("copies") < 1 || r < 0 || r >= day.routers) {
                continue;
            }
            ordersSeen++;
            if (day.loadsSpan == 0) { continue; }
            ArrayDeque<Long> q = orders.get(r);
            q.add(l.t());
            while (l.t() - q.peek() > day.loadsSpan) { q.poll(); }
            long calls = taken.get(r).stream().filter(t -> t <= l.t() && l.t() - t <= day.loadsSpan).count();
            double may = day.loadsFree + day.loadsShare * calls;
            rationMost = Math.max(rationMost, q.size() / may);
            if (q.size() > may) {
                broken(Invariant.RATION,
                    "router " + r + " ordered " + q.size() + " loads where " + may + " are its ration, "
                        + "fleet.jsonl:" + l.number());
            }
        }
    }

    public List<Violation> violations() { return List.copyOf(violations); }

    /** Prints a row a rule with its counts, then the violations. */
    public void print(PrintStream out) {
        Map<Invariant, String> counts = new LinkedHashMap<>();
        counts.put(Invariant.ANSWERS, tries.size() + " calls; " + ends
            + (withinSlack == 0 ? ""
                : "; " + withinSlack + " answers were seen past the limit, within the slack of "
                    + day.slack / 1000 + " ms")
            + (fellDue == 0 ? "" : "; " + fellDue + " fell due while their router was stopped"));
        counts.put(Invariant.REPEATS,
            executions + " executions, " + ran + " ran, " + repeatsDropped + " repeats dropped, "
                + twice + " jobs took effect twice");
        counts.put(Invariant.DRAINS, drainsTold + " drains told; latest send after one "
            + (latestAfterDrain < 0 ? "none" : latestAfterDrain / 1000.0 + " ms") + ", grace "
            + day.grace / 1000 + " ms");
        counts.put(Invariant.COLD_WORKERS, coldWorkers + " cold starts; most of a budget used "
            + Math.round(coldMost * 100) + "%");
        counts.put(Invariant.RATION,
            ordersSeen + " load orders; " + (day.loadsSpan == 0 ? "no ration is stated"
                : "most of the ration used " + Math.round(rationMost * 100) + "%"));
        counts.forEach((rule, count) -> {
            long n = violations.stream().filter(v -> v.rule() == rule).count();
            out.printf("%-13s %-7s %s%n", rule.name().toLowerCase(java.util.Locale.ROOT).replace('_', ' '),
                n == 0 ? "kept" : "BROKEN", count + (n == 0 ? "" : "; " + n + " violations"));
        });
        violations.stream().limit(MOST_SHOWN).forEach(v -> out.println("  " + v.what()));
        if (violations.size() > MOST_SHOWN) {
            out.println("  and " + (violations.size() - MOST_SHOWN) + " more");
        }
    }
}

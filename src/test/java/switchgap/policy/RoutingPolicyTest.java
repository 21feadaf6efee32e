package switchgap.policy;

import static org.assertj.core.api.Assertions.assertThat;
import static switchgap.policy.PolicyHarness.change;
import static switchgap.policy.PolicyHarness.list;
import static switchgap.policy.PolicyHarness.ms;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import switchgap.policy.api.AttemptOutcome;
import switchgap.policy.api.AttemptResult;
import switchgap.policy.api.DeduplicationScope;
import switchgap.policy.api.EndpointEntry;
import switchgap.policy.api.Idempotency;
import switchgap.policy.api.LoadCommandResult;
import switchgap.policy.api.LoadReport;
import switchgap.policy.api.ProbeResult;
import switchgap.policy.api.RequestArrival;
import switchgap.policy.api.WorkerState;

/** Traces of decisions against those kept beside this file's resources, which people read. */
class RoutingPolicyTest {
    private static void same(String name, PolicyHarness b) throws IOException {
        assertThat(b.trace()).isEqualTo(PolicyHarness.kept(name));
    }

    /** One job at home, one execution that errs there; what then happens depends on the kind of workload. */
    private static PolicyHarness erring(Idempotency repeat, DeduplicationScope group) {
        return erring(repeat, group, 0);
    }

    private static PolicyHarness erring(Idempotency repeat, DeduplicationScope group, int function) {
        PolicyHarness.TestSettings said = new PolicyHarness.TestSettings();
        said.repeat = repeat;
        said.group = group;
        PolicyHarness b = new PolicyHarness(said);
        b.at(0, f -> list(f, 4)).at(10, f -> b.job(f, 0, function));
        int home = home(b);
        return b.at(60, f -> b.end(f, 0, 0, home, AttemptOutcome.FAILED, 50, -1)).until(2100);
    }

    private static int home(PolicyHarness b) {
        String line = b.trace().lines().filter(l -> l.contains("send")).findFirst().orElseThrow();
        return worker(line);
    }

    private static int worker(String line) {
        return line.charAt(line.indexOf("worker ") + 7) - '0';
    }

    /** Where the last order to hold function 0 went. */
    private static int held(PolicyHarness b) {
        return Integer.parseInt(b.trace().replaceAll("(?s).*hold function 0 at worker (\\d).*", "$1"));
    }

    @Test void restartableRunsAgainElsewhere() throws IOException {
        same("restartable", erring(Idempotency.IDEMPOTENT, DeduplicationScope.ALL));
    }

    @Test void runOnceIsKilledAfterAnErrorAndNeverPushedBack() throws IOException {
        same("run-once", erring(Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL));
    }

    @Test void fingerprintedStaysInItsGroup() throws IOException {
        same("fingerprinted-zone", erring(Idempotency.IDEMPOTENT_WITH_KEY, DeduplicationScope.ZONE));
        for (int function = 1; function < 8; function++) { // the helper's zones are a worker's number modulo 2
            assertThat(
                erring(Idempotency.IDEMPOTENT_WITH_KEY, DeduplicationScope.ZONE,
                    function).trace().lines().filter(l -> l.contains("send")).map(
                        l -> worker(l) % 2).distinct()).hasSize(1);
        }
    }

    @Test void fingerprintedIsNotRepeatedPastItsMemorySpan() {
        PolicyHarness.TestSettings said = new PolicyHarness.TestSettings();
        said.repeat = Idempotency.IDEMPOTENT_WITH_KEY;
        PolicyHarness b = new PolicyHarness(said);
        b.at(0, f -> list(f, 4)).at(10, f -> b.job(f, 0, 0));
        int home = home(b);
        b.at(1050, f -> b.end(f, 0, 0, home, AttemptOutcome.FAILED, 1040, -1)).until(2100);
        assertThat(b.count("send")).isEqualTo(1);
        assertThat(b.count("push back") + b.count("kill")).isEqualTo(1);
    }

    /** Of 1,000 ms less two ticks, whichever execution it was that ended: 980 ms on it may be repeated, 994 ms on no more. */
    @Test void theMemorySpanCountsFromTheFirstExecutionThatMayHaveRun() {
        for (int[] ends : new int[][] {{980, 2}, {994, 1}, {500, 980, 3}, {500, 994, 2}}) {
            PolicyHarness.TestSettings said = new PolicyHarness.TestSettings();
            said.repeat = Idempotency.IDEMPOTENT_WITH_KEY;
            PolicyHarness b = new PolicyHarness(said);
            b.at(0, f -> list(f, 4)).at(10, f -> b.job(f, 0, 0));
            for (int i = 0; i < ends.length - 1; i++) {
                int x = i;
                int at = b.sentTo(0);
                b.at(10 + ends[i], f -> b.end(f, 0, x, at, AttemptOutcome.FAILED, 50, -1));
            }
            assertThat(b.count("send")).as(java.util.Arrays.toString(ends)).isEqualTo(ends[ends.length - 1]);
        }
    }

    @Test void eachJobGetsOneAnswerBeforeItsLimit() throws IOException {
        PolicyHarness b = new PolicyHarness(new PolicyHarness.TestSettings());
        b.at(0, f -> list(f, 3)).at(10, f -> b.job(f, 0, 0));
        int home = home(b);
        b.at(12, f -> b.end(f, 0, 0, home, AttemptOutcome.NOT_LOADED, 2, -1)).until(2500);
        same("answered-in-time", b);
    }

    @Test void aMissOrdersACopyAndTheJobFollowsTheLoad() throws IOException {
        PolicyHarness b = new PolicyHarness(new PolicyHarness.TestSettings());
        b.at(0, f -> list(f, 3)).at(10, f -> b.job(f, 0, 0));
        int home = home(b);
        b.at(12, f -> b.end(f, 0, 0, home, AttemptOutcome.NOT_LOADED, 2, -1)).at(15,
            f -> f.loadCommandEnded(
                new LoadCommandResult((home + 1) % 3, 0, AttemptOutcome.SUCCEEDED, ms(3), 0))).at(300,
                    f -> f.loadCommandEnded(
                        new LoadCommandResult(home, 0, AttemptOutcome.SUCCEEDED, ms(288), 1))).at(380,
                            f -> b.end(f, 0, 1, home, AttemptOutcome.SUCCEEDED, 80, 0));
        same("miss", b);
    }

    @Test void nothingNewToADrainingWorkerFromTheRoundThatTellsOfIt() {
        PolicyHarness b = new PolicyHarness(new PolicyHarness.TestSettings());
        b.at(0, f -> list(f, 3)).at(10, f -> b.job(f, 0, 0));
        int home = home(b);
        b.at(100, f -> b.end(f, 0, 0, home, AttemptOutcome.SUCCEEDED, 90, 0));
        b.at(110, f -> {
            change(f, home, WorkerState.DRAINING, null);
            b.job(f, 1, 0);
        }).until(1500);
        assertThat(b.trace().lines().filter(
            l -> l.endsWith("at worker " + home) || l.contains("worker " + home + " "))).allMatch(
                l -> Integer.parseInt(l.split(" ")[0]) < 110);
        assertThat(b.count("send")).isGreaterThan(1);
    }

    /** All routers share one budget: misses, which come back at once, count like any send. */
    @Test void aColdWorkerIsNotPushedOver() {
        PolicyHarness.TestSettings said = new PolicyHarness.TestSettings();
        said.loads = true;
        said.routers = 4;
        PolicyHarness b = new PolicyHarness(said);
        b.at(1000, f -> {
            f.endpointListStarted(true);
            f.endpointListed(new EndpointEntry(0, 1000, WorkerState.READY, 0, 0, 0, 1, ms(1000)));
            f.endpointListEnded();
        });
        for (int i = 0; i < 50; i++) {
            int job = i;
            b.at(1010 + 20 * i, f -> b.job(f, job, 0));
        }
        // Four routers; a warm worker bears ten jobs a second at the least: 2 x 0.2 x 10 / 4 is one job a second.
        assertThat(b.count("send")).isBetween(1L, 2L);
    }

    @Test void loadOrdersStayWithinTheRation() {
        PolicyHarness.TestSettings said = new PolicyHarness.TestSettings();
        said.free = 2;
        said.share = 0.25;
        said.span = ms(5000);
        PolicyHarness b = new PolicyHarness(said);
        b.at(0, f -> list(f, 4));
        for (int i = 0; i < 12; i++) {
            int job = i;
            b.at(10 + 50 * i, f -> b.job(f, job, job));
            String last = b.trace().lines().filter(
                l -> l.contains("send job " + job + " ")).findFirst().orElse(null);
            if (last != null) {
                int w = worker(last);
                b.at(15 + 50 * i, f -> b.end(f, job, 0, w, AttemptOutcome.NOT_LOADED, 2, -1));
                b.at(20 + 50 * i, f -> f.loadCommandEnded(
                    new LoadCommandResult(w, job, AttemptOutcome.SUCCEEDED, ms(5), 1)));
            }
            assertThat((double) b.count("hold")).isLessThanOrEqualTo(2 + 0.25 * (i + 1));
        }
        assertThat(b.count("hold")).isGreaterThan(2);
    }

    /** k rises with the crowd at the copies and falls, with a drop only where idle memory is priced. */
    @Test void targetRisesAndFalls() throws IOException {
        PolicyHarness.TestSettings said = new PolicyHarness.TestSettings();
        said.price = 0.05;
        PolicyHarness b = new PolicyHarness(said);
        b.at(0, f -> list(f, 4));
        for (int i = 0; i < 6; i++) {
            int job = i;
            b.at(10 + 150 * i, f -> b.job(f, job, 0));
            int home = home(b);
            b.at(90 + 150 * i, f -> b.end(f, job, 0, home, AttemptOutcome.SUCCEEDED, 80, 3));
        }
        b.until(1100);
        int next = held(b);
        b.at(1300,
            f -> f.loadCommandEnded(new LoadCommandResult(next, 0, AttemptOutcome.SUCCEEDED, ms(200), 1)));
        b.until(17_500);
        same("target", b);
    }

    /** Past the bound at home a job goes on along the hash order, to a copy that stands. */
    @Test void overflowGoesOnward() throws IOException {
        PolicyHarness b = new PolicyHarness(new PolicyHarness.TestSettings());
        b.at(0, f -> list(f, 4)).at(10, f -> b.job(f, 0, 0));
        int home = home(b);
        b.at(90, f -> b.end(f, 0, 0, home, AttemptOutcome.SUCCEEDED, 80, 0));
        b.at(100, f -> {
            for (int j = 1; j < 9; j++) {
                b.job(f, j, 0);
            }
        });
        int next = held(b);
        b.at(300,
            f -> f.loadCommandEnded(new LoadCommandResult(next, 0, AttemptOutcome.SUCCEEDED, ms(200), 1)));
        same("overflow", b);
    }

    @Test void aRestartedRouterSendsFromItsCachedListAlone() throws IOException {
        PolicyHarness.TestSettings said = new PolicyHarness.TestSettings();
        said.loads = true;
        PolicyHarness b = new PolicyHarness(said);
        b.at(0, f -> {
            list(f, 3);
            for (int j = 0; j < 8; j++) {
                b.job(f, j, 0);
            }
        });
        same("restart", b);
    }

    @Test void goneWorkersAndOneOffFunctionsAreForgotten() {
        PolicyHarness b = new PolicyHarness(new PolicyHarness.TestSettings());
        b.at(0, f -> list(f, 3)).at(10, f -> b.job(f, 0, 0));
        int home = home(b);
        b.at(90, f -> b.end(f, 0, 0, home, AttemptOutcome.SUCCEEDED, 80, 0));
        b.at(100, f -> change(f, home, WorkerState.GONE, null)).until(1100);
        int next = held(b);
        b.at(1200,
            f -> f.loadCommandEnded(
                new LoadCommandResult(next, 0, AttemptOutcome.SUCCEEDED, ms(200), 1))).until(31_000);
        assertThat(b.trace()).contains("forget job 0", "forget worker " + home, "forget function 0");
    }

    @Test void sameEventsSameDecisions() {
        assertThat(erring(Idempotency.IDEMPOTENT, DeduplicationScope.ALL).trace()).isEqualTo(
            erring(Idempotency.IDEMPOTENT, DeduplicationScope.ALL).trace());
    }

    /** Clients that give up before the work can be done, and try again, filled every worker for nothing. */
    @Test void aJobThatCannotBeAnsweredInTimeIsPushedBackOnArrival() {
        PolicyHarness b = new PolicyHarness(new PolicyHarness.TestSettings());
        b.at(0, f -> list(f, 3)).at(10, f -> b.job(f, 0, 0, 90));
        assertThat(b.count("push back job 0")).isEqualTo(1);
        assertThat(b.count("send")).isZero();
    }

    /** Fast failures look idle: after two errors the worker's functions move on, until one job retests it. */
    @Test void aWorkerThatErrsIsShunnedAndRetested() throws IOException {
        PolicyHarness b = new PolicyHarness(new PolicyHarness.TestSettings());
        b.at(0, f -> list(f, 4));
        for (int i = 0; i < 5; i++) {
            int job = i;
            b.at(10 + 300 * i, f -> b.job(f, job, 0));
            String sent = b.trace().lines().filter(
                l -> l.contains("send job " + job)).findFirst().orElseThrow();
            int at = worker(sent);
            boolean errs = at == home(b) && i < 2;
            b.at(15 + 300 * i,
                f -> b.end(f, job, 0, at, errs ? AttemptOutcome.FAILED : AttemptOutcome.SUCCEEDED, 5, 0));
            b.at(40 + 300 * i, f -> {
                if (errs) {
                    int other = Integer.parseInt(
                        b.trace().strip().replaceAll("(?s).*to worker (\\d).*", "$1"));
                    b.end(f, job, 1, other, AttemptOutcome.SUCCEEDED, 20, 0);
                }
            });
        }
        same("shunned", b);
    }

    /** A full worker counts as twice what it may hold: the next job goes to another of the copies. */
    @Test void aFullWorkerIsPassedOver() {
        PolicyHarness.TestSettings said = new PolicyHarness.TestSettings();
        said.routers = 200;
        PolicyHarness b = new PolicyHarness(said);
        b.at(0, f -> list(f, 4)).at(10, f -> b.job(f, 0, 0));
        int home = b.sentTo(0);
        b.at(90, f -> b.end(f, 0, 0, home, AttemptOutcome.SUCCEEDED, 80, 8)).until(1100); // k rises to two
        b.at(1110, f -> b.job(f, 1, 0)).until(1200);
        int full = b.sentTo(1);
        b.at(1210, f -> b.end(f, 1, 0, full, AttemptOutcome.REJECTED, 2, 5));
        assertThat(b.sentTo(1)).isNotEqualTo(full);
        b.at(1220, f -> b.job(f, 2, 0)).until(1260);
        assertThat(b.sentTo(2)).isNotEqualTo(full);
    }

    /** Of 200 routers each hears of a function seldom: k stuck at one, and the first copy took all first jobs. */
    @Test void atSizeOneAnswerRaisesTheTargetAndChanceSpreadsTheJobs() {
        PolicyHarness.TestSettings said = new PolicyHarness.TestSettings();
        said.routers = 200;
        PolicyHarness b = new PolicyHarness(said);
        b.at(0, f -> list(f, 4)).at(10, f -> b.job(f, 0, 0));
        int home = home(b);
        b.at(90, f -> b.end(f, 0, 0, home, AttemptOutcome.SUCCEEDED, 80, 8));
        for (int i = 1; i < 9; i++) {
            int job = i;
            b.at(3000 + 500 * i, f -> b.job(f, job, 0));
        }
        assertThat(b.trace().lines().filter(l -> l.contains("send")).map(
            RoutingPolicyTest::worker).distinct().count()).isGreaterThan(1);
    }

    /** A failed question had ended all questions at that router, and shunned a worker that was only busy. */
    @Test void aProbeThatTimesOutDoesNotShun() {
        PolicyHarness b = new PolicyHarness(new PolicyHarness.TestSettings());
        b.at(0, f -> list(f, 4)).at(10, f -> b.job(f, 0, 0));
        int home = home(b);
        b.at(90, f -> b.end(f, 0, 0, home, AttemptOutcome.SUCCEEDED, 80, 0));
        b.at(100, f -> f.probeEnded(new ProbeResult(home, AttemptOutcome.TIMED_OUT, LoadReport.NONE)));
        b.at(110, f -> b.job(f, 1, 0));
        assertThat(b.trace()).contains("110 send job 1 to worker " + home);
    }

    /** What waits for a load is not waiting for cores; a copy that others loaded needs no order of ours. */
    @Test void atSizeACopyIsAskedForBeforeItIsOrdered() {
        PolicyHarness.TestSettings said = new PolicyHarness.TestSettings();
        said.routers = 200;
        said.loads = true;
        PolicyHarness b = new PolicyHarness(said);
        b.at(0, f -> list(f, 4)).at(10, f -> b.job(f, 0, 0));
        int home = home(b);
        b.at(90, f -> b.end(f, 0, 0, home, AttemptOutcome.SUCCEEDED, 80, 8)).until(1900).at(1950,
            f -> b.job(f, 1, 0)).until(2100);
        assertThat(b.count("ask function 0")).isEqualTo(1);
        assertThat(b.count("hold function 0")).isZero();
    }

    /** After a pause of the router a copy stands, but there is no time left to hear of an execution. */
    @Test void withinTheMarginOfItsLimitAJobIsNotSentAnyMore() {
        PolicyHarness b = new PolicyHarness(new PolicyHarness.TestSettings());
        b.at(0, f -> list(f, 1)).at(10, f -> b.job(f, 0, 0)).at(12,
            f -> b.end(f, 0, 0, 0, AttemptOutcome.NOT_LOADED, 2, -1));
        b.at(2003,
            f -> f.loadCommandEnded(new LoadCommandResult(0, 0, AttemptOutcome.SUCCEEDED, ms(1990), 1))); // its limit is 2010, the margin two ticks of 5
        assertThat(b.count("send")).isEqualTo(1);
        assertThat(b.count("push back job 0")).isEqualTo(1);
    }

    /** A function's requests meet on few workers, the same from all routers, whatever their numbers and seeds. */
    @Test void allRoutersHaveTheSameHashOrder() {
        for (int function = 0; function < 30; function++) {
            int of = function;
            List<Integer> first = new ArrayList<>();
            for (int me = 0; me < 4; me++) {
                PolicyHarness.TestSettings said = new PolicyHarness.TestSettings();
                said.me = me;
                said.routers = 4;
                PolicyHarness b = new PolicyHarness(said);
                b.at(0, f -> list(f, 9)).at(10, f -> b.job(f, 0, of));
                first.add(b.sentTo(0));
            }
            assertThat(first).containsOnly(first.get(0));
        }
    }

    /** The gap: between the marks k stays as it is; under the unload mark it falls after a keep-alive, and one copy stays. */
    @Test void betweenTheMarksTheTargetStays() {
        PolicyHarness b = new PolicyHarness(new PolicyHarness.TestSettings());
        b.at(0, f -> list(f, 4));
        int[] after = new int[3];
        for (int i = 0; i < 2400; i++) {
            int t = 20 + 40 * i;
            int j = i % 50;
            int phase = i < 100 ? 0 : i < 1300 ? 1 : 2; // 4 s crowded, 48 s at 0.2 of a lane, 44 s idle
            int crowd = phase == 0 ? 3 : phase == 1 && i % 4 == 0 ? 1 : 0;
            b.at(t, f -> b.job(f, j, 0));
            if (b.sentTo(j) >= 0) {
                b.at(t + 30, f -> b.end(f, j, 0, b.sentTo(j), AttemptOutcome.SUCCEEDED, 30, crowd));
            }
            after[phase] = b.target(0);
        }
        assertThat(after).containsExactly(2, 2, 1);
    }

    /** However crowded its copies are told to be: k ends at half of the ready workers, and at what their memory holds. */
    @Test void theTargetEndsAtHalfOfTheWorkersAndAtTheirMemory() {
        for (int size : new int[] {100, 9000}) {
            PolicyHarness b = new PolicyHarness(new PolicyHarness.TestSettings());
            b.at(0, f -> list(f, 6));
            for (int i = 0; i < 2000; i++) {
                int t = 20 + 40 * i;
                int j = i % 50;
                b.at(t,
                    f -> f.requestArrived(new RequestArrival(j, 0, 0, 0, 50, ms(t + 2000), null, size, 2)));
                if (b.sentTo(j) >= 0) {
                    b.at(t + 30, f -> b.end(f, j, 0, b.sentTo(j), AttemptOutcome.SUCCEEDED, 30, 30));
                }
            }
            assertThat(b.target(0)).isEqualTo(size == 100 ? 3 : 1); // six workers of 4,000 MB, half of them for copies
        }
    }

    /** The client has the execution now: no limit, no pushback, no further execution, until its end comes. */
    /** Orders out at a time for ten new functions, after {@code failed} orders for functions of nobody ended in an error. */
    private static long ordersAfter(int failed) {
        PolicyHarness b = new PolicyHarness(new PolicyHarness.TestSettings());
        List<int[]> orders = new ArrayList<>();
        b.onHold = (w, f) -> orders.add(new int[] {w, f});
        b.at(0, f -> list(f, 8));
        for (int i = 0; i < failed; i++) {
            int job = i;
            b.at(10 + 10 * i, f -> b.job(f, job, 100 + job));
            b.at(12 + 10 * i, f -> b.end(f, job, 0, b.sentTo(job), AttemptOutcome.NOT_LOADED, 2, -1));
            int[] o = orders.remove(0);
            b.at(14 + 10 * i, f -> {
                f.loadCommandEnded(new LoadCommandResult(o[0], o[1], AttemptOutcome.FAILED, ms(1), 0));
                f.clientLeft(job);
            });
            orders.forEach(x -> b.at(15,
                f -> f.loadCommandEnded(new LoadCommandResult(x[0], x[1], AttemptOutcome.FAILED, ms(1), 0))));
            orders.clear();
        }
        for (int i = 0; i < 10; i++) {
            int job = 50 + i;
            b.at(500, f -> b.job(f, job, job));
            b.at(502, f -> b.end(f, job, 0, b.sentTo(job), AttemptOutcome.NOT_LOADED, 2, -1));
        }
        return orders.size();
    }

    /** Seen on a day of rude clients: calls of functions that nobody has halved the pace of all loads, down to one at a time. */
    @Test void failedLoadsOfFunctionsOfNobodyDoNotSlowTheOthers() {
        assertThat(ordersAfter(0)).isGreaterThan(3);
        assertThat(ordersAfter(6)).isEqualTo(ordersAfter(0));
    }

    /** Where jobs of eight functions go after so many calls of functions of nobody erred. */
    private static List<Integer> placesAfter(int errors) {
        PolicyHarness.TestSettings said = new PolicyHarness.TestSettings();
        said.repeat = Idempotency.NON_IDEMPOTENT;
        PolicyHarness b = new PolicyHarness(said);
        b.at(0, f -> list(f, 4));
        int one = -1;
        for (int i = 0; i < 60; i++) { // or all workers would err alike, which blames none
            int job = 200 + i;
            b.at(1 + i, f -> b.job(f, job, job % 8));
            one = job == 206 ? b.sentTo(job) : one;
            b.at(1 + i, f -> b.end(f, job, 0, b.sentTo(job), AttemptOutcome.SUCCEEDED, 5, 0));
        }
        int bad = one;
        for (int i = 0; i < errors; i++) {
            int job = i;
            b.at(70 + 5 * i, f -> b.job(f, job, 100 + job)).at(72 + 5 * i, f -> {
                if (b.sentTo(job) != bad) { f.clientLeft(job); }
                b.end(f, job, 0, b.sentTo(job),
                    b.sentTo(job) == bad ? AttemptOutcome.FAILED : AttemptOutcome.CANCELLED, 2, -1);
            });
        }
        b.at(500, f -> {
            for (int i = 0; i < 8; i++) { b.job(f, 50 + i, i); }
        });
        return java.util.stream.IntStream.range(50, 58).mapToObj(b::sentTo).toList();
    }

    /** Seen on the same day: errors that such calls met at one worker after the other had healthy workers shunned. */
    @Test void errorsOfFunctionsOfNobodyShunNoWorker() {
        assertThat(placesAfter(48)).isEqualTo(placesAfter(0)).doesNotContain(-1);
    }

    /** Seen on sockets: with three routers reports of jobs held, a while old, drove jobs away from idle workers. */
    @Test void withFewRoutersWhatAWorkerHoldsIsNotReadFromReports() {
        PolicyHarness b = new PolicyHarness(new PolicyHarness.TestSettings());
        java.util.Set<Integer> orders = new java.util.HashSet<>();
        b.onHold = (w, f) -> orders.add(w);
        b.at(0, f -> list(f, 4));
        for (int i = 0; i < 200; i++) { // a crowd at both copies, until the target is at two
            int job = i;
            b.at(10 + 20 * i, f -> b.job(f, job, 0));
            b.at(15 + 20 * i, f -> b.end(f, job, 0, b.sentTo(job), AttemptOutcome.SUCCEEDED, 5, 4));
        }
        assertThat(b.target(0)).isEqualTo(2);
        b.at(4500, f -> orders.forEach(
            w -> f.loadCommandEnded(new LoadCommandResult(w, 0, AttemptOutcome.SUCCEEDED, ms(200), 1))));
        b.at(5000, f -> b.job(f, 300, 0));
        int first = b.sentTo(300);
        b.at(5010, f -> f.attemptEnded(new AttemptResult(300, 0, first, AttemptOutcome.SUCCEEDED, ms(10),
            true, new LoadReport(0.9, 50, Double.NaN, 0))));
        b.at(5020, f -> b.job(f, 301, 0));
        assertThat(b.sentTo(301)).isEqualTo(first);
    }

    /** Two jobs, then none: the home copy is held anew before its keep-alive of 10 s is over, for four of them. */
    private static PolicyHarness calledTwice(PolicyHarness.TestSettings said) {
        PolicyHarness b = new PolicyHarness(said);
        b.at(0, f -> list(f, 4)).at(10, f -> b.job(f, 0, 0));
        int home = home(b);
        b.onHold = (w, f) -> assertThat(w).isEqualTo(home);
        b.at(60, f -> b.end(f, 0, 0, home, AttemptOutcome.SUCCEEDED, 50, 0)).at(100, f -> b.job(f, 1, 0));
        b.at(150, f -> b.end(f, 1, 0, home, AttemptOutcome.SUCCEEDED, 50, 0));
        for (int t = 1000; t <= 60_000; t += 1000) {
            long held = b.count("hold");
            b.at(t, f -> f.wakeUp(0));
            if (b.count("hold") > held) {
                b.at(t + 20, f -> f.loadCommandEnded(
                    new LoadCommandResult(home, 0, AttemptOutcome.SUCCEEDED, ms(20), 1)));
            }
        }
        return b;
    }

    @Test void oneCopyStaysForSomeKeepAlives() {
        PolicyHarness b = calledTwice(new PolicyHarness.TestSettings());
        assertThat(b.count("hold")).isEqualTo(5); // each 7 s, within 40 s of the last job
        assertThat(b.count("forget function")).isEqualTo(1);
    }

    @Test void noCopyStaysWhereOrdersAreRationedOrMemoryIsPricedOrRoutersAreManyOrAfterOneJob() {
        PolicyHarness.TestSettings rationed = new PolicyHarness.TestSettings();
        rationed.span = ms(5000);
        rationed.free = 3;
        PolicyHarness.TestSettings priced = new PolicyHarness.TestSettings();
        priced.price = 0.05;
        PolicyHarness.TestSettings many = new PolicyHarness.TestSettings();
        many.routers = 40;
        for (PolicyHarness.TestSettings said : List.of(rationed, priced, many)) {
            assertThat(calledTwice(said).count("hold")).isZero();
        }
        PolicyHarness once = new PolicyHarness(new PolicyHarness.TestSettings());
        once.at(0, f -> list(f, 4)).at(10, f -> once.job(f, 0, 0));
        int home = home(once);
        once.at(60, f -> once.end(f, 0, 0, home, AttemptOutcome.SUCCEEDED, 50, 0)).until(30_000);
        assertThat(once.count("hold")).isZero();
    }

    @Test void aStreamThatBeganIsLeftAloneUntilItsEnd() {
        PolicyHarness b = new PolicyHarness(new PolicyHarness.TestSettings());
        b.at(0, f -> list(f, 3)).at(10, f -> b.job(f, 0, 0)).at(60, f -> f.responseStarted(0, 0)).until(5000);
        assertThat(b.count("send")).isEqualTo(1);
        assertThat(b.count("push back") + b.count("kill") + b.count("cancel")).isZero();
        int at = b.sentTo(0);
        b.at(5100, f -> f.attemptEnded(
            new AttemptResult(0, 0, at, AttemptOutcome.CONNECTION_LOST, ms(5090), true, LoadReport.NONE)));
        assertThat(b.count("send")).isEqualTo(1);
        assertThat(b.count("forget job 0")).isEqualTo(1);
    }

    /** One router of 200 at a time starved the successors of a release: turns are shared, one job a turn each. */
    @Test void atSizeTurnsAtAColdWorkerAreShared() {
        int sent = 0;
        for (int me = 0; me < 200; me++) {
            PolicyHarness.TestSettings said = new PolicyHarness.TestSettings();
            said.loads = true;
            said.routers = 200;
            said.me = me;
            PolicyHarness b = new PolicyHarness(said);
            b.at(1000, f -> {
                f.endpointListStarted(true);
                f.endpointListed(new EndpointEntry(0, 1000, WorkerState.READY, 0, 0, 0, 1, ms(1000)));
                f.endpointListEnded();
                b.job(f, 0, 0);
                b.job(f, 1, 0);
            });
            assertThat(b.count("send")).isLessThanOrEqualTo(1);
            sent += b.count("send");
        }
        assertThat(sent).isBetween(2, 40);
    }
}

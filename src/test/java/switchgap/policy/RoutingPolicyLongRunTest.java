package switchgap.policy;

import static org.assertj.core.api.Assertions.assertThat;
import static switchgap.policy.PolicyHarness.change;
import static switchgap.policy.PolicyHarness.list;
import static switchgap.policy.PolicyHarness.ms;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import switchgap.policy.api.AttemptOutcome;
import switchgap.policy.api.EndpointEntry;
import switchgap.policy.api.LoadCommandResult;
import switchgap.policy.api.LoadReport;
import switchgap.policy.api.ProbeResult;
import switchgap.policy.api.WorkerState;

/** What a day on the bench is too short to show: tables that fill, figures that freeze, beliefs that never end. */
class RoutingPolicyLongRunTest {
    private int job;

    /** So many jobs of function 0, one each {@code every} ms, each finished after {@code took}. Returns the time reached. */
    private int run(PolicyHarness b, int from, int jobs, int every, int took) {
        int t = from;
        for (int i = 0; i < jobs; i++, t += every) {
            int j = job++ % 50;
            b.at(t, f -> b.job(f, j, 0));
            b.at(t + took, f -> {
                if (b.sentTo(j) >= 0) { b.end(f, j, 0, b.sentTo(j), AttemptOutcome.SUCCEEDED, took, 0); }
            });
        }
        return t;
    }

    private void home(PolicyHarness b) {
        b.at(0, f -> list(f, 3)).at(5, f -> b.job(f, 0, 0)).at(50,
            f -> b.end(f, 0, 0, b.sentTo(0), AttemptOutcome.SUCCEEDED, 45, 0));
    }

    /** Each job's arrival stayed until the next order: for days where all copies stand. */
    @Test void arrivalsAreKeptForTheirSpanWhereNoOrderIsAskedFor() {
        PolicyHarness.TestSettings said = new PolicyHarness.TestSettings();
        said.free = 3;
        said.share = 0.15;
        said.span = ms(5000);
        PolicyHarness b = new PolicyHarness(said);
        home(b);
        int t = run(b, 100, 1000, 20, 10);
        long before = b.held();
        run(b, t, 20_000, 20, 10);
        assertThat(b.held()).isLessThan(before + 200);
    }

    /** The usual time of a workload was the median of all its life: after days nothing that changed moved it. */
    @Test void theUsualTimeFollowsWhatItIsNow() {
        PolicyHarness b = new PolicyHarness(new PolicyHarness.TestSettings());
        home(b);
        int t = run(b, 100, 20_000, 60, 40);
        t = run(b, t, 400, 400, 390);
        int at = t;
        b.at(at, f -> b.job(f, 99, 0, 420)); // a limit nearer than one and a half of what it takes now
        String all = b.trace();
        assertThat(all.substring(Math.max(0, all.length() - 300))).contains(at + " push back job 99");
    }

    /** A worker first heard of at its start was taken to be empty for good, for each function that came later. */
    @Test void aWorkerIsTakenToBeEmptyOnlyWhileItIsCold() {
        PolicyHarness.TestSettings said = new PolicyHarness.TestSettings();
        said.routers = 200;
        PolicyHarness b = new PolicyHarness(said);
        b.at(0, f -> {
            f.endpointListStarted(true);
            f.endpointListed(new EndpointEntry(0, 1000, WorkerState.READY, 0, 0, 0, 1, ms(0)));
            f.endpointListEnded();
        }).until(11_000).at(3_600_000, f -> b.job(f, 0, 0));
        assertThat(b.count("send")).isEqualTo(1); // others may have loaded it within the hour: tried, not ordered
        assertThat(b.count("hold")).isZero();
    }

    @Test void aNewProcessIsEmptyForFunctionsHeardOfLater() {
        PolicyHarness.TestSettings said = new PolicyHarness.TestSettings();
        said.routers = 200;
        PolicyHarness b = new PolicyHarness(said);
        b.at(0, f -> list(f, 1)).at(60_000, f -> change(f, 0, WorkerState.READY, ms(60_000)));
        b.at(65_000, f -> b.job(f, 0, 0));
        assertThat(b.count("send")).isZero();
        assertThat(b.count("hold")).isEqualTo(1);
    }

    /** Seen on join+mass: workers that drained before the list said so were given three orders a served job, and each is priced. */
    @ParameterizedTest
    @ValueSource(ints = {2, 100}) void aWorkerThatRefusedAnOrderIsNotGivenItAtOnceAgain(int routers) {
        PolicyHarness.TestSettings said = new PolicyHarness.TestSettings();
        said.routers = routers;
        PolicyHarness b = new PolicyHarness(said);
        List<Integer> refused = new ArrayList<>();
        List<Integer> all = new ArrayList<>();
        b.onHold = (w, f) -> {
            refused.add(w);
            all.add(w);
        };
        b.at(0, f -> list(f, 4)).at(10, f -> b.job(f, 0, 0)).at(20,
            f -> b.end(f, 0, 0, b.sentTo(0), AttemptOutcome.NOT_LOADED, 2, 0));
        for (int t = 30; t < 900; t += 10) {
            List<Integer> now = List.copyOf(refused);
            refused.clear();
            b.at(t, f -> now.forEach(
                w -> f.loadCommandEnded(new LoadCommandResult(w, 0, AttemptOutcome.REJECTED, ms(2), 0))));
            if (b.sentTo(0) >= 0 && b.tries(0) == 2) {
                b.at(t, f -> b.end(f, 0, 1, b.sentTo(0), AttemptOutcome.NOT_LOADED, 2, 0));
            }
        }
        assertThat(all).isNotEmpty().doesNotHaveDuplicates(); // each worker once a second,
        assertThat(all.size() + b.count("ask")).isGreaterThan(1); // and others are tried; at size they are asked first
    }

    /** Seen on join+mass: calls of functions that nobody has, by clients that repeat at once, each with an order that failed. */
    @Test void aFunctionThatFailedToLoadTwiceAndNeverStoodIsOrderedOnceASecond() {
        PolicyHarness b = new PolicyHarness(new PolicyHarness.TestSettings());
        List<Integer> out = new ArrayList<>();
        int[] orders = {0};
        b.onHold = (w, f) -> {
            out.add(w);
            orders[0]++;
        };
        b.at(0, f -> list(f, 4));
        for (int t = 10; t < 3000; t += 10) {
            List<Integer> now = List.copyOf(out);
            out.clear();
            int j = t;
            b.at(t, f -> {
                now.forEach(
                    w -> f.loadCommandEnded(new LoadCommandResult(w, 0, AttemptOutcome.FAILED, ms(2), 0)));
                b.job(f, j, 0);
            });
            if (b.sentTo(j) >= 0) {
                b.at(t, f -> b.end(f, j, 0, b.sentTo(j), AttemptOutcome.NOT_LOADED, 2, 0));
            }
        }
        assertThat(orders[0]).isBetween(3, 2 + 4);
    }

    /** Seen on join+mass, 9039 orders of which 8325 ended at once: a copy that stood at a worker still too cold was ordered again and again. */
    @ParameterizedTest
    @ValueSource(ints = {7, 10, 24}) // functions whose first worker in order is the warm one
    void aCopyThatStandsAtAColdWorkerIsNotOrderedAgain(int function) {
        PolicyHarness.TestSettings said = new PolicyHarness.TestSettings();
        said.routers = 100;
        said.me = 50; // its turn at a cold worker comes later
        PolicyHarness b = new PolicyHarness(said);
        List<Integer> out = new ArrayList<>();
        int[] orders = {0};
        b.onHold = (w, f) -> {
            out.add(w);
            orders[0]++;
        };
        b.at(1000, f -> list(f, 1)).at(1010, f -> b.job(f, 0, function)).at(1020,
            f -> b.end(f, 0, 0, b.sentTo(0), AttemptOutcome.SUCCEEDED, 10, 0));
        b.at(1030, f -> {
            change(f, 1, WorkerState.READY, ms(1030)); // new and cold
            change(f, 2, WorkerState.READY, ms(1030));
        });
        for (int t = 1040; t < 3000; t += 10) {
            List<Integer> now = List.copyOf(out);
            out.clear();
            int j = t;
            b.at(t, f -> {
                now.forEach(w -> f.loadCommandEnded(
                    new LoadCommandResult(w, function, AttemptOutcome.SUCCEEDED, ms(2), 1)));
                b.job(f, j, function); // more than the one warm worker takes
            });
        }
        assertThat(orders[0]).isBetween(1, 2);
    }

    /** Seen on days of a hundred routers: questions cost 0.08 to 0.23 of all worth, and earned 0.01. */
    @ParameterizedTest
    @ValueSource(doubles = {0, 0.01, 0.08}) void workersAreAskedForTheirLoadWhereItIsWorthItsPrice(
        double price) {
        PolicyHarness.TestSettings said = new PolicyHarness.TestSettings();
        said.routers = 200;
        said.probePrice = price;
        PolicyHarness b = new PolicyHarness(said);
        b.at(0, f -> list(f, 4)).at(10, f -> b.job(f, 0, 0)).at(90,
            f -> b.end(f, 0, 0, b.sentTo(0), AttemptOutcome.SUCCEEDED, 80, 8)).until(1100);
        b.at(1200, f -> b.job(f, 1, 0)).until(1300);
        assertThat(b.count("probe") > 0).isEqualTo(price < 0.015);
        assertThat(b.count("send")).isEqualTo(2); // asked or not, the job goes out
    }

    /** One answer without a load report, as from a worker that had just begun, ended all questions for good. */
    @Test void workersAreAskedForTheirLoadAgainAfterOneToldNone() {
        PolicyHarness.TestSettings said = new PolicyHarness.TestSettings();
        said.routers = 200;
        PolicyHarness b = new PolicyHarness(said);
        b.at(0, f -> list(f, 4)).at(10, f -> b.job(f, 0, 0)).at(90,
            f -> b.end(f, 0, 0, b.sentTo(0), AttemptOutcome.SUCCEEDED, 80, 8)).until(1100);
        b.at(1200, f -> b.job(f, 1, 0));
        assertThat(b.count("probe")).isPositive();
        long asked = b.count("probe");
        for (int w = 0; w < 4; w++) {
            int at = w;
            b.at(1202, f -> f.probeEnded(new ProbeResult(at, AttemptOutcome.SUCCEEDED, LoadReport.NONE)));
        }
        b.until(1300).at(1320, f -> b.end(f, 1, 0, b.sentTo(1), AttemptOutcome.SUCCEEDED, 80, 8)).until(3000);
        for (int i = 0; i < 20; i++) {
            int j = 2 + i;
            b.at(3000 + 6000 * i, f -> b.job(f, j, 0)).until(3100 + 6000 * i);
            if (b.sentTo(j) >= 0) {
                b.at(3120 + 6000 * i, f -> b.end(f, j, 0, b.sentTo(j), AttemptOutcome.SUCCEEDED, 80, 8));
            }
            b.until(8980 + 6000 * i);
        }
        assertThat(b.count("probe")).as(
            b.trace().substring(Math.max(0, b.trace().length() - 1500))).isGreaterThan(asked + 1);
    }

    /** A wake-up that never came was waited for for good: what waits is looked at only as other events come. */
    @Test void aWakeUpThatWasLostIsAskedForAgain() {
        PolicyHarness b = new PolicyHarness(new PolicyHarness.TestSettings());
        b.at(0, f -> list(f, 1)); // asks for its first, which is lost
        int asked = b.wakes;
        b.at(5000, f -> b.job(f, 0, 0)).at(5002, f -> b.end(f, 0, 0, 0, AttemptOutcome.NOT_LOADED, 2, -1)); // now it waits
        assertThat(b.wakes).isGreaterThan(asked);
        int then = b.wakes;
        b.at(5500, f -> f.wakeUp(1)).at(5520, f -> f.wakeUp(1)); // late, and twice
        assertThat(b.wakes).isBetween(then, then + 2);
    }
}

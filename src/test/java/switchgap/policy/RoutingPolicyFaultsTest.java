package switchgap.policy;

import static org.assertj.core.api.Assertions.assertThat;
import static switchgap.policy.PolicyHarness.list;
import static switchgap.policy.PolicyHarness.ms;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import switchgap.policy.api.AttemptOutcome;
import switchgap.policy.api.LoadCommandResult;
import switchgap.policy.api.RequestArrival;

/** Troubles whose answers only the bench had shown: slow workers, lost answers, a slow store, a customer's burst, zones. */
class RoutingPolicyFaultsTest {
    /** Function 0 at two copies that are told to be crowded; returns the two workers, the first of the hash order first. */
    private static int[] two(PolicyHarness b) {
        return two(b, 0);
    }

    private static int[] two(PolicyHarness b, int function) {
        b.at(0, f -> list(f, 4)).at(10, f -> b.job(f, 0, function));
        int home = b.sentTo(0);
        int[] second = {-1};
        b.onHold = (w, f) -> second[0] = w;
        b.at(60, f -> b.end(f, 0, 0, home, AttemptOutcome.SUCCEEDED, 50, 3));
        for (int i = 0; i < 20; i++) {
            int t = 100 + 60 * i;
            b.at(t, f -> b.job(f, 1, function));
            int at = b.sentTo(1);
            b.at(t + 50, f -> b.end(f, 1, 0, at, AttemptOutcome.SUCCEEDED, 50, 3));
        }
        assertThat(b.target(function)).isEqualTo(2);
        b.at(1400, f -> f.loadCommandEnded(
            new LoadCommandResult(second[0], function, AttemptOutcome.SUCCEEDED, ms(100), 1)));
        return new int[] {home, second[0]};
    }

    @Test void aSlowWorkerIsSteppedRound() {
        PolicyHarness b = new PolicyHarness(new PolicyHarness.TestSettings());
        int[] at = two(b);
        int early = 0;
        int late = 0;
        for (int i = 0; i < 60; i++) {
            int t = 1500 + 450 * i;
            b.at(t, f -> {
                b.job(f, 2, 0);
                b.job(f, 3, 0);
            });
            for (int j = 2; j < 4; j++) {
                int w = b.sentTo(j);
                int job = j;
                early += i < 3 && w == at[0] ? 1 : 0;
                late += i >= 40 && w == at[0] ? 1 : 0;
                b.at(t + (w == at[0] ? 400 : 30 + j),
                    f -> b.end(f, job, 0, w, AttemptOutcome.SUCCEEDED, w == at[0] ? 400 : 30, 3));
            }
        }
        assertThat(early).isGreaterThanOrEqualTo(3);
        assertThat(late).isLessThan(15); // of 40
    }

    @Test void lostAnswersShunNobodyAndSilenceDoes() {
        PolicyHarness b = new PolicyHarness(new PolicyHarness.TestSettings());
        int home = two(b)[0];
        int t = 2000;
        for (int i = 0; i < 6; i++, t += 700) { // one of two answers is lost
            int from = t;
            b.at(from, f -> b.job(f, 2, 0)).at(from + 5, f -> b.job(f, 3, 0)).at(from + 10,
                f -> b.job(f, 4, 0));
            assertThat(List.of(b.sentTo(2), b.sentTo(3), b.sentTo(4))).contains(home);
            for (int j = 2; j < 5; j++) {
                int job = j;
                int w = b.sentTo(j);
                if (j > 2) { b.at(from + 60 + j, f -> b.end(f, job, 0, w, AttemptOutcome.SUCCEEDED, 60, 3)); }
            }
            int lost = b.sentTo(2);
            b.at(from + 500, f -> b.end(f, 2, 0, lost, AttemptOutcome.TIMED_OUT, 500, -1));
            b.at(from + 600, f -> {
                if (b.sentTo(2) >= 0) { b.end(f, 2, 1, b.sentTo(2), AttemptOutcome.SUCCEEDED, 500, 3); }
            });
        }
        PolicyHarness c = new PolicyHarness(new PolicyHarness.TestSettings());
        int dumb = two(c)[0];
        List<Integer> sent = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            int from = 2000 + 700 * i;
            c.at(from, f -> c.job(f, 2, 0));
            int w = c.sentTo(2);
            sent.add(w);
            c.at(from + 500, f -> c.end(f, 2, 0, w,
                w == dumb ? AttemptOutcome.TIMED_OUT : AttemptOutcome.SUCCEEDED, 500, 3));
            c.at(from + 650, f -> {
                if (c.sentTo(2) >= 0) { c.end(f, 2, 1, c.sentTo(2), AttemptOutcome.SUCCEEDED, 150, 3); }
            });
        }
        assertThat(sent.subList(0, 2)).containsOnly(dumb);
        assertThat(sent.subList(2, 4)).doesNotContain(dumb);
    }

    /** Loads out at a time: three to begin with here, more where they come through in time, one where the store is slow. */
    @Test void loadsOutFollowTheStoresPace() {
        for (int took : new int[] {100, 4000}) {
            PolicyHarness b = new PolicyHarness(new PolicyHarness.TestSettings());
            List<int[]> out = new ArrayList<>();
            int[] now = {0};
            b.onHold = (w, f) -> out.add(new int[] {now[0] + took, w, f});
            b.at(0, f -> list(f, 4));
            int most = 0;
            int last = 0;
            for (int i = 0; i < 3000; i++) {
                now[0] = 10 + 10 * i;
                int function = i;
                b.at(now[0], f -> {
                    b.job(f, function, function);
                    for (int[] o : List.copyOf(out)) {
                        if (o[0] <= now[0] && out.remove(o)) {
                            f.loadCommandEnded(
                                new LoadCommandResult(o[1], o[2], AttemptOutcome.SUCCEEDED, ms(took), 1));
                        }
                    }
                });
                int w = b.sentTo(function);
                if (w >= 0) {
                    b.at(now[0] + 2,
                        f -> b.end(f, function, b.tries(function) - 1, w, AttemptOutcome.NOT_LOADED, 2, -1));
                }
                most = Math.max(most, out.size());
                last = i > 2000 ? Math.max(last, out.size()) : last;
                if (i == 8) { assertThat(out.size()).as("to begin with").isEqualTo(3); }
            }
            if (took == 100) {
                assertThat(most).isGreaterThan(5);
            } else {
                assertThat(last).isEqualTo(1);
            }
        }
    }

    @Test void aCustomerOverItsShareWaitsBehindTheOthers() {
        PolicyHarness.TestSettings said = new PolicyHarness.TestSettings() {
            @Override public int tenantCount() { return 2; }

            @Override public double tenantQuota(int c) { return 10; }
        };
        PolicyHarness b = new PolicyHarness(said);
        b.at(0, f -> list(f, 1)).at(10, f -> b.job(f, 0, 0)).at(60,
            f -> b.end(f, 0, 0, 0, AttemptOutcome.SUCCEEDED, 50, 0));
        for (int i = 0; i < 40; i++) {
            int t = 100 + 10 * i;
            b.at(t, f -> b.job(f, 1, 0));
            if (b.sentTo(1) >= 0) { b.at(t + 8, f -> b.end(f, 1, 0, 0, AttemptOutcome.SUCCEEDED, 8, 0)); }
        }
        b.at(600, f -> { for (int j = 2; j < 40; j++) { b.job(f, j, 0); } });
        b.at(610, f -> {
            for (int j = 40; j < 43; j++) {
                f.requestArrived(new RequestArrival(j, 0, 1, 0, 50, ms(2610), null, 100, 2));
            }
        });
        assertThat(b.sentTo(39)).isEqualTo(-1);
        assertThat(b.sentTo(40)).isEqualTo(-1);
        b.at(640,
            f -> { for (int j = 2; j < 5; j++) { b.end(f, j, 0, 0, AttemptOutcome.SUCCEEDED, 40, 3); } });
        assertThat(List.of(b.sentTo(40), b.sentTo(41), b.sentTo(42))).containsOnly(0);
    }

    @Test void theOwnZoneGoesFirstAndYieldsWhenItIsCrowded() {
        PolicyHarness.TestSettings said = new PolicyHarness.TestSettings() {
            @Override public double crossZonePrice() { return 0.02; }
        };
        int function = 0;
        PolicyHarness b = new PolicyHarness(said);
        int[] at = two(b, function);
        while (at[0] % 2 == at[1] % 2) { // the helper's zones are a worker's number modulo 2
            b = new PolicyHarness(said);
            at = two(b, ++function);
        }
        int own = at[0] % 2 == 0 ? at[0] : at[1];
        int of = function;
        PolicyHarness c = b;
        c.at(1500, f -> c.job(f, 2, of));
        assertThat(c.sentTo(2)).isEqualTo(own);
        c.at(1501, f -> { for (int j = 3; j < 9; j++) { c.job(f, j, of); } });
        assertThat(java.util.stream.IntStream.range(3, 9).map(c::sentTo).boxed().toList()).contains(at[0],
            at[1]);
    }
}

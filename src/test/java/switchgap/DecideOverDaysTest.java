package switchgap;

import static org.assertj.core.api.Assertions.assertThat;
import static switchgap.Bench.list;
import static switchgap.Bench.ms;

import org.junit.jupiter.api.Test;
import switchgap.port.End;

/** What a day on the bench is too short to show: tables that fill, figures that freeze, beliefs that never end. */
class DecideOverDaysTest {
    private int job;

    /** So many jobs of function 0, one each {@code every} ms, each finished after {@code took}. Returns the time reached. */
    private int run(Bench b, int from, int jobs, int every, int took) {
        int t = from;
        for (int i = 0; i < jobs; i++, t += every) {
            int j = job++ % 50;
            b.at(t, f -> b.job(f, j, 0));
            b.at(t + took, f -> {
                if (b.sentTo(j) >= 0) { b.end(f, j, 0, b.sentTo(j), End.FINISHED, took, 0); }
            });
        }
        return t;
    }

    private void home(Bench b) {
        b.at(0, f -> list(f, 3)).at(5, f -> b.job(f, 0, 0)).at(50, f -> b.end(f, 0, 0, b.sentTo(0), End.FINISHED, 45, 0));
    }

    /** Each job's arrival stayed until the next order: for days where all copies stand. */
    @Test void arrivalsAreKeptForTheirSpanWhereNoOrderIsAskedFor() {
        Bench.Said said = new Bench.Said();
        said.free = 3;
        said.share = 0.15;
        said.span = ms(5000);
        Bench b = new Bench(said);
        home(b);
        int t = run(b, 100, 1000, 20, 10);
        long before = b.held();
        run(b, t, 20_000, 20, 10);
        assertThat(b.held()).isLessThan(before + 200);
    }

    /** The usual time of a workload was the median of all its life: after days nothing that changed moved it. */
    @Test void theUsualTimeFollowsWhatItIsNow() {
        Bench b = new Bench(new Bench.Said());
        home(b);
        int t = run(b, 100, 20_000, 60, 40);
        t = run(b, t, 400, 400, 390);
        int at = t;
        b.at(at, f -> b.job(f, 99, 0, 420)); // a limit nearer than one and a half of what it takes now
        String all = b.trace();
        assertThat(all.substring(Math.max(0, all.length() - 300))).contains(at + " push back job 99");
    }
}

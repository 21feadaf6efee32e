package switchgap.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import switchgap.policy.api.Idempotency;

/**
 * Which offered calls reach the module. One ladder for all and one for each customer. Conditions are ratios to what
 * the terms state and what this router measures; it never sees a name. The module's own pushbacks, bounds and places
 * stay the module's: levels only see what it pushed back for want of room, as pressure.
 */
public final class AdmissionController {
    // --- Marks. Shares of the importance of calls that passed.
    private static final double CROWDED = 0.10;   // of all: pushed back by the module for want of room
    private static final double PROTECTED = 0.05; // of the most important workloads: the same
    private static final double BUSY = 0.85;       // of workers' cores, where told: below it nothing is overloaded
    private static final double UNTOLD = 1.5;     // times the marks, where no worker tells how busy it is
    private static final double CALM = 0.55;        // of cores, where told: below it misses are loads, not crowds
    private static final double KEEP = 0.5;         // depth a second, for a share of one missed beyond what is to be kept
    private static final double LATE = 0.5;       // of a pushback for want of room: an answer after the start target
    private static final double HARD = 0.5;       // of all: only past it may the last rung, which takes nothing, be come to
    private static final double LEAVE = 0.4;      // of either mark: under it service is given back
    private static final double TWICE = 2;        // marks: a rung just left is taken again at once
    private static final double GAIN = 0.3;       // depth a second, for a share of one past the mark
    private static final double GIVE_BACK = 0.03; // depth a second, with nothing pressing at all
    private static final double SLACK = 1;            // depth a second, for all cores idle: the crowd has gone
    private static final double ENOUGH = 8;       // calls of evidence, before service is given up
    private static final double OVER = 1.3;       // times the usual load for a share: a customer over its share
    private static final double DOUBT = 3;        // times the chance error of a customer's load: not yet over its share
    private static final double STAY = 10;        // longest start targets: the shortest stay on a rung
    private static final double FADE = 4;         // longest start targets: evidence halves
    private static final double PATIENCE = 6;     // times slower where there is little evidence
    private static final double ROUND = 80;      // longest start targets: turns of being pushed back go round
    private static final double QUICK = 0.2;      // the same, where there is much: what was a second ago counts no more
    private static final double EVEN = 1.1;       // of its share: what an over-share customer keeps
    private static final int KEPT = 64;           // changes remembered

    private final AdmissionSettings terms;
    private final SplittableRandom chance;
    private final double most;
    private final double fade;
    private final SheddingRotation turns;
    private final Duration stay;
    private final DegradationController common;
    private final DegradationController[] own;
    private final SheddingRotation[] ownTurns;
    private final double[] came;                  // importance offered by each customer, first tries and repeats
    private final double[] cut;                   // of it, the share beyond an even load for the share
    private double passed, crowded, passedBest, crowdedBest, missedBest, calls, told, tells;
    private double worst;                         // pressure, in marks
    private final List<ServiceLevelChange> changes = new ArrayList<>();
    private final long[][] touched;               // calls pushed back: by rung, by workload
    private final Duration[] spent = new Duration[ServiceLevel.values().length];
    private Duration last = Duration.ZERO;

    public AdmissionController(AdmissionSettings terms, long seed) {
        this.terms = terms;
        this.chance = new SplittableRandom(seed);
        this.most = terms.maxPriorityWeight();
        double longest = terms.longestObjective().toNanos() / 1e9;
        this.fade = longest * FADE;
        stay = Duration.ofNanos((long) (longest * STAY * (0.8 + 0.4 * chance.nextDouble()) * 1e9)); // not in step
        Duration round = Duration.ofNanos((long) (longest * ROUND * 1e9));
        this.turns = new SheddingRotation(round, chance.split());
        this.common = new DegradationController(stay, chance.split(), rungs(terms));
        int n = terms.tenantShares().length;
        this.own = new DegradationController[n];
        Arrays.setAll(own,
            c -> new DegradationController(stay, chance.split(), ServiceLevel.FULL, ServiceLevel.SHARE));
        this.ownTurns = new SheddingRotation[n];
        Arrays.setAll(ownTurns, c -> new SheddingRotation(round, chance.split()));
        this.came = new double[n];
        this.cut = new double[n];
        this.touched = new long[ServiceLevel.values().length][terms.priorityWeights().length];
        Arrays.fill(spent, Duration.ZERO);
    }

    /** The rungs that touch anything under these terms. */
    private static ServiceLevel[] rungs(AdmissionSettings t) {
        boolean least = false;
        boolean lesser = false;
        for (int w = 0; w < t.priorityWeights().length; w++) {
            boolean best = t.priorityWeights()[w] >= t.maxPriorityWeight();
            least |= !best && !t.exempt()[w] && t.idempotency()[w] == Idempotency.IDEMPOTENT;
            lesser |= !best && !t.exempt()[w] && t.idempotency()[w] != Idempotency.IDEMPOTENT;
        }
        List<ServiceLevel> all = new ArrayList<>(List.of(ServiceLevel.FULL));
        if (least) { all.add(ServiceLevel.LEAST); }
        if (lesser) { all.add(ServiceLevel.MOST); }
        all.add(ServiceLevel.HOLD);
        return all.toArray(new ServiceLevel[0]);
    }

    /** A worker's answer told how busy its cores are; NaN where it tells nothing. */
    public void workerReported(double share) {
        if (Double.isNaN(share)) { return; }
        told++;
        tells += share;
    }

    /**
     * A call is offered; a customer below 0 is none. {@code key} tells calls for the same thing (a function) from others, so
     * that one which comes back meets the same verdict. What the ladders push back was never executed.
     */
    public AdmissionDecision decide(Duration now, int customer, int workload, long key) {
        tick(now);
        if (customer >= 0) { came[customer] += terms.priorityWeights()[workload]; }
        ServiceLevel r = rungFor(customer, workload, key);
        if (r == null) { return AdmissionDecision.ADMITTED; }
        touched[r.ordinal()][workload]++;
        return new AdmissionDecision(false, r, comeBack(r));
    }

    /** The rung that pushes this call back, or null where it passes. */
    private ServiceLevel rungFor(int customer, int workload, long key) {
        if (terms.exempt()[workload]) { return null; }
        boolean again = terms.idempotency()[workload] == Idempotency.IDEMPOTENT;
        boolean best = terms.priorityWeights()[workload] >= most;
        ServiceLevel all = common.rung();
        ServiceLevel at = best ? ServiceLevel.HOLD : again ? ServiceLevel.LEAST : ServiceLevel.MOST; // the first rung that may push it back
        if (all.compareTo(at) > 0) { return at; }
        if (all == at && turns.meets(customer, key, terms.priorityWeights()[workload], common.depth(),
            chance.nextDouble())) {
            return at;
        }
        if (customer < 0 || !again || own[customer].rung() != ServiceLevel.SHARE) { return null; }
        double width = own[customer].depth() * cut[customer];
        return ownTurns[customer].meets(customer, key, terms.priorityWeights()[workload], width,
            chance.nextDouble()) ? ServiceLevel.SHARE : null;
    }

    /** Longer the deeper, spread by chance so that those pushed back together don't come back together. */
    private Duration comeBack(ServiceLevel r) {
        double spread = chance.nextDouble();
        if (terms.maxRetryAfter() == null) { return null; }
        double base = r == ServiceLevel.SHARE ? 0.5 : 0.4 + 0.2 * Math.min(3, r.ordinal() - 1);
        return Duration.ofNanos(
            (long) (terms.maxRetryAfter().toNanos() * Math.min(1, base * (0.6 + 0.8 * spread))));
    }

    /** A call that passed has ended. */
    public void requestEnded(Duration now, int workload, RequestOutcome o) {
        tick(now);
        double worth = terms.priorityWeights()[workload];
        double lost = o == RequestOutcome.SATURATED ? worth : o == RequestOutcome.LATE ? worth * LATE : 0;
        calls++;
        passed += worth;
        crowded += lost;
        if (worth >= most) {
            passedBest += worth;
            crowdedBest += lost;
            missedBest += o == RequestOutcome.IN_TIME ? 0 : worth;
        }
    }

    /** Lets time pass; steps of at most a second count, so that a clock that jumps moves nothing at once. */
    public void tick(Duration now) {
        double dt = (now.toNanos() - last.toNanos()) / 1e9;
        if (dt < 0.1) { return; }
        spent[common.rung().ordinal()] = spent[common.rung().ordinal()].plus(now.minus(last));
        last = now;
        dt = Math.min(1, dt);
        shares();
        double keep = Math.pow(0.5, dt / fade / PATIENCE);
        turns.step(dt, keep);
        double excess = 0;
        double total = Math.max(Arrays.stream(came).sum(), Double.MIN_NORMAL);
        boolean ownBusy = false;
        double error = error();
        boolean known = calls >= ENOUGH;
        boolean hard = worst >= TWICE;
        for (int c = 0; c < own.length; c++) {
            boolean over = cut[c] > 0;
            if (own[c].rung() == ServiceLevel.SHARE) { ownTurns[c].step(dt, keep); }
            expire(own[c], c, now);
            ServiceLevel from = own[c].rung();
            String why = own[c].step(now, dt, over ? error : -GIVE_BACK * 4, known, hard,
                terms.lowestLevel());
            if (why != null) { note(now, c, from, own[c].rung(), why); }
            excess += came[c] * cut[c];
            ownBusy |= over && own[c].depth() < 1;
        }
        expire(common, -1, now);
        // What customers bring beyond their share counts against their own ladders, as long as these can still give.
        boolean theirs = ownBusy && error > 0 && excess / total > 0.5 * pressure();
        ServiceLevel from = common.rung();
        String why = common.step(now, dt, theirs ? 0 : error, known, hard,
            pressure() < HARD && terms.lowestLevel() == ServiceLevel.HOLD
                ? ServiceLevel.MOST : terms.lowestLevel());
        if (why != null && !common.pinned()) { note(now, -1, from, common.rung(), why); }
        decay(dt);
    }

    private void expire(DegradationController l, int customer, Duration now) {
        ServiceLevel from = l.rung();
        if (l.expire(now)) { note(now, customer, from, l.rung(), "the pin has expired"); }
    }

    /** Share of the passed importance that the module pushed back for want of room. */
    public double pressure() {
        return crowded / Math.max(passed, Double.MIN_NORMAL);
    }

    /** Depth a second that pressure asks for, below 0 where service is to be given back. */
    private double error() {
        worst = 0;
        // Guards against a rung that lets nothing pass and so never hears that the crowd has gone.
        if (calls < ENOUGH / 4) { return -GIVE_BACK; }
        boolean idle = told >= ENOUGH / 2 && tells / told < BUSY; // crowds at one copy are the module's to spread
        double slack = told >= ENOUGH / 2 ? Math.max(0, 0.8 * BUSY - tells / told) : 0;
        double times = told >= ENOUGH / 2 ? 1 : UNTOLD;
        double all = pressure() / CROWDED / times;
        double best = crowdedBest / Math.max(passedBest, Double.MIN_NORMAL) / PROTECTED / times;
        worst = Math.max(all, passedBest < ENOUGH / 2 * most ? 0 : best);
        if (terms.protectedShare() > 0 && passedBest >= ENOUGH / 2 * most
            && (told < ENOUGH / 2 || tells / told >= CALM)) {
            double missed = missedBest / passedBest - (1 - terms.protectedShare());
            if (missed >= 0) { return KEEP * missed + 0.01; }
            if (missed >= -0.5 * (1 - terms.protectedShare())) { return 0; }
        }
        if (worst >= 1 && !idle) {
            return GAIN * (worst == all ? pressure() - CROWDED : (best - 1) * PROTECTED) + 0.01;
        }
        return worst <= LEAVE || idle ? -GIVE_BACK * Math.max(0, 1 - worst / LEAVE) - 0.005 - SLACK * slack
            : 0;
    }

    /**
     * Which customers are over their share: their load for a share stands out from the usual one, the median over the
     * customers weighted by share. Two that hammer don't move it as long as they hold less than half of the shares.
     */
    private void shares() {
        int n = came.length;
        Integer[] by = new Integer[n];
        Arrays.setAll(by, c -> c);
        double[] load = new double[n];
        double all = 0;
        for (int c = 0; c < n; c++) {
            load[c] = came[c] / Math.max(terms.tenantShares()[c], Double.MIN_NORMAL);
            all += terms.tenantShares()[c];
        }
        Arrays.sort(by, (a, b) -> Double.compare(load[a], load[b]));
        double usual = 0;
        double sum = 0;
        for (int c : by) {
            sum += terms.tenantShares()[c];
            usual = load[c];
            if (sum >= all / 2) { break; }
        }
        for (int c = 0; c < n; c++) {
            double doubt = DOUBT / Math.sqrt(Math.max(1, came[c] / most)); // a handful of calls says little of a share
            cut[c] = usual > 0 && load[c] > (OVER + doubt) * usual ? 1 - EVEN * usual / load[c] : 0;
        }
    }

    private void decay(double dt) {
        double k = Math.pow(0.5, dt / fade / Math.max(QUICK, Math.min(PATIENCE, 4 * ENOUGH / calls)));
        calls *= k;
        told *= k;
        tells *= k;
        passed *= k;
        crowded *= k;
        passedBest *= k;
        crowdedBest *= k;
        missedBest *= k;
        for (int c = 0; c < came.length; c++) {
            came[c] *= k;
        }
    }

    private void note(Duration now, int customer, ServiceLevel from, ServiceLevel to, String why) {
        ServiceLevelChange c = new ServiceLevelChange(now, customer, from, to, why, pressure(), calls);
        keep(changes, c);
        keep(fresh, c);
    }

    private static void keep(List<ServiceLevelChange> last, ServiceLevelChange c) {
        if (last.size() == KEPT) { last.remove(0); }
        last.add(c);
    }

    private final List<ServiceLevelChange> fresh = new ArrayList<>();

    // ------------------------------------------------------------------ for operators

    /** Holds a level for all until a time, whatever the pressure. */
    public void pin(Duration now, ServiceLevel r, Duration until) {
        ServiceLevel from = common.rung();
        common.pin(r, until);
        note(now, -1, from, r, "pinned");
    }

    public boolean isPinned() { return common.pinned(); }

    public ServiceLevel level() { return common.rung(); }

    public double shedFraction() { return common.depth(); }

    public ServiceLevel level(int customer) { return own[customer].rung(); }

    public double shedFraction(int customer) { return own[customer].depth(); }

    /** The last changes, oldest first. */
    public List<ServiceLevelChange> changes() {
        return List.copyOf(changes);
    }

    /** Changes since this was last asked. */
    public List<ServiceLevelChange> drainChanges() {
        List<ServiceLevelChange> all = List.copyOf(fresh);
        fresh.clear();
        return all;
    }

    /** The shortest stay on a rung. */
    public Duration minStay() { return stay; }

    /** Time spent at a level for all. */
    public Duration timeAt(ServiceLevel r) { return spent[r.ordinal()]; }

    /** Calls of a workload that a rung pushed back. */
    public long rejections(ServiceLevel r, int workload) {
        return touched[r.ordinal()][workload];
    }
}

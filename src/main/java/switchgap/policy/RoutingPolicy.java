package switchgap.policy;

import static switchgap.policy.state.Durations.*;

import java.time.Duration;
import java.util.*;
import switchgap.policy.api.AttemptOutcome;
import switchgap.policy.api.DeduplicationScope;
import switchgap.policy.api.EventBatch;
import switchgap.policy.api.Idempotency;
import switchgap.policy.api.PolicyActions;
import switchgap.policy.api.PolicyEvents;
import switchgap.policy.api.RouterSettings;
import switchgap.policy.api.WorkerState;
import switchgap.policy.state.Attempt;
import switchgap.policy.state.Function;
import switchgap.policy.state.Histogram;
import switchgap.policy.state.IndexedTable;
import switchgap.policy.state.Replica;
import switchgap.policy.state.Replica.ReplicaState;
import switchgap.policy.state.Request;
import switchgap.policy.state.RequestClass;
import switchgap.policy.state.SlidingWindow;
import switchgap.policy.state.Worker;

/**
 * All decisions of one router. Invoked once a round, {@code decide.round(now, in, out)}: {@code in} calls the
 * Feed methods below with what came in, decisions go straight into {@code out}. The interface is the package
 * {@code switchgap.port}; the holders of what is remembered are {@code switchgap.state}. docs/design.md
 * says what follows the design page and under what conditions each exception acts.
 */
public final class RoutingPolicy implements PolicyEvents {
    // --- Bins. All are ratios: to a start target, to what is usual, or to a copy's lanes.
    private static final double[] SPANS = {1 / 16., 1 / 8., 1 / 4., 1 / 2., 1, 2, 4};
    private static final double[] RATIOS = {0.5, 1, 1.5, 2, 3, 5, 8};
    private static final double[] BAD = {0.5};
    private static final double[] CROWD = {0.25, 0.5, 1, 1.5, 2, 3, 4, 6, 8, 12, 16, 24, 32, 48};
    private static final double[] JOBS = {1, 2, 3, 4, 6, 8, 12, 16, 24};
    // --- The design's open figures.
    private static final double BRISK = 0.15;      // of a start target: past it the bound shrinks
    private static final double LOAD_MARK = 0.25; // mean crowd a lane at arrival: k rises above it
    private static final double MOST_LANES = 2;    // lanes that count: more than cores only share the cores
    private static final double UNLOAD_MARK = 0.15; // ... and falls a keep-alive below it
    private static final double ENOUGH = 4;        // answers that tell of a crowd or of health; more: halved
    private static final double MOST_COPIES = 0.5; // of the ready workers
    private static final double MEMORY = 0.5;      // of the workers' memory: k rises so far
    private static final double STAYS = 4;         // keep-alives after its last job for which one copy stays
    private static final double RENEW = 0.6;       // of a keep-alive: a copy idle for so long is held anew
    private static final double STEP_ASIDE = 1;    // jobs more than at the least loaded copy: onward
    private static final double ROOM = 10;         // jobs at a worker, from all routers, unmeasured
    private static final double LOOK_EARNS = 0.03; // of a job's worth: past it nobody is asked for its load
    private static final double FURTHER = 4;       // workers past k that are looked at, and k more
    private static final double FADE = 1;          // seconds in which half of what was told is old news
    private static final double BUSY = 0.9;        // of its cores: below it what waits does not wait for them
    private static final double SHUN_MOST = 1 / 3.; // of the ready workers
    private static final double TOO_SHORT = 1.5;   // of the expected time: a nearer limit is hopeless

    private static final Duration SECOND = Duration.ofSeconds(1); // the design's pace of k

    private final int self, zone, routers, mostExecutions;
    private final double part;          // of a place at each worker, this router's own
    private final Duration margin;      // before a time limit: two ticks, so that an answer is never late
    private final Duration step, soonest; // between looks at what waits; the shortest start target
    private final RequestClass[] workloads;
    private final double[] fairShare, kindMemory;
    private final boolean second, crossingPriced, sizesTold, loadsOnMiss, drops, stays;
    private final boolean mayCancel, mayOrder, mayAsk;
    private final Duration comeBack;    // null: no advice
    private final Duration keep, rationSpan, coldSpan, fallSpan;
    private final double rationFree, rationShare, overShare, coldShare, mostValue;
    private final double coldBudget;    // of full capacity times span, for this router, at full warmth
    private final Duration askEvery;    // null: the list comes by itself
    private final SplittableRandom chance;

    private final IndexedTable<Worker> workers = new IndexedTable<>();
    private final IndexedTable<Function> functions = new IndexedTable<>();
    private final IndexedTable<Request> jobs = new IndexedTable<>();
    private final List<Request> waiting = new ArrayList<>();
    private final SlidingWindow orders = new SlidingWindow(), arrivals = new SlidingWindow();
    private final Histogram crowds = new Histogram(JOBS);
    private final Histogram stretch = new Histogram(RATIOS), failing = new Histogram(BAD);
    private final double[] customerCame;
    private double allCame;
    private boolean told = true;         // whether probes tell a load
    private Worker met;                  // the first worker that the last place() met,
    private boolean stands, awaited;     // ... whether a copy stood and whether one was on its way
    private double usualOthers = 1;
    private boolean wholeList;
    private int listing, ready, ordersOut;
    private double room, planned;        // memory of all ready workers; what the copies at their targets take
    private double kept;                 // ... and of functions not called for a keep-alive whose copy stays
    private double ordersMost, ownRate;  // of load orders at a time; jobs a second at an average worker
    private Duration now = Duration.ZERO;
    private Duration nextSecond = Duration.ZERO, nextAsk = Duration.ZERO;
    private Duration nextStep;           // the last wake-up asked for, and its number
    private long wakes, seconds;
    private PolicyActions out;

    public RoutingPolicy(RouterSettings t, long seed) {
        chance = new SplittableRandom(seed);
        self = t.self();
        zone = t.zone();
        crossingPriced = t.crossingPrice() > 0;
        routers = Math.max(1, t.routers());
        part = Math.min(1, ROOM / routers);
        margin = t.tick().multipliedBy(2);
        workloads = new RequestClass[t.workloads()];
        Arrays.setAll(workloads, i -> new RequestClass(t, i, SPANS, JOBS));
        mostValue = Arrays.stream(workloads).mapToDouble(x -> x.value).max().orElse(1);
        soonest = Arrays.stream(workloads).map(x -> x.target).min(Comparator.naturalOrder()).orElseThrow();
        step = most(t.tick(), soonest.dividedBy(20));
        fairShare = new double[t.customers()];
        customerCame = new double[t.customers()];
        Arrays.setAll(fairShare, t::customerRate);
        double all = Math.max(Arrays.stream(fairShare).sum(), Double.MIN_NORMAL);
        Arrays.setAll(fairShare, c -> fairShare[c] / all);
        overShare = t.overShareWorth();
        mostExecutions = t.mostExecutions();
        second = t.secondExecutions();
        mayCancel = t.mayCancel();
        comeBack = t.tellsComeBack() ? least(t.mostComeBack(), soonest) : null;
        loadsOnMiss = t.loadsOnMiss();
        mayOrder = t.mayOrder();
        mayAsk = t.mayProbe() && 2 * t.probePrice() < LOOK_EARNS; // a look is two questions
        keep = t.keepAlive();
        kindMemory = t.kindMemory();
        sizesTold = t.sizesTold();
        drops = t.memoryPrice() > 0 && mayOrder;
        stays = mayOrder && t.memoryPrice() == 0 && t.loadsSpan().isZero() && part == 1;
        rationFree = t.loadsFree();
        rationShare = t.loadsShare();
        rationSpan = t.loadsSpan();
        coldShare = t.coldShare();
        coldSpan = t.coldSpan();
        fallSpan = t.fallSpan();
        coldBudget = t.fallMultiple() / routers;
        askEvery = t.asksForList() ? t.askWithin().dividedBy(4) : null;
    }

    public void round(Duration at, EventBatch in, PolicyActions to) {
        now = at;
        out = to;
        in.into(this);
        if (askEvery != null && !less(now, nextAsk)) {
            out.subscribe();
            nextAsk = now.plus(askEvery);
        }
        if (!less(now, nextSecond)) {
            eachSecond();
            nextSecond = now.plus(SECOND);
        }
        placeWaiting();
        Duration due = waiting.isEmpty() ? nextSecond : least(now.plus(step), nextSecond);
        if (nextStep == null || less(nextStep, now) || less(due, nextStep)) { // a lost one is not waited for
            out.wake(due.minus(now), ++wakes);
            nextStep = due;
        }
    }

    // ------------------------------------------------------------------ the ordinary path

    /**
     * The design's path: the first of k copies in hash order that is not beyond the bound, else onward. Where
     * the routers outnumber the places at a worker, the bound is part of a job and is kept by chance.
     */
    private boolean place(Request j) {
        Function f = j.function;
        Worker best = null, other = null, unknown = null, stray = null, more = null;
        boolean avoid = j.failedAt.cardinality() < ready;
        boolean guess = part < 1 && !loadsOnMiss && j.executions.size() + 1 < mostExecutions;
        boolean beyond = false;
        double least = Double.MAX_VALUE;
        int i = 0;
        met = null;
        stands = awaited = false;
        for (Worker w : order(f)) {
            if (shunned(w) || avoid && j.failedAt.get(w.id)) { continue; }
            boolean home = i++ < f.target;
            if (!home && (best != null || stray != null || i > 2 * f.target + FURTHER)) { break; }
            ReplicaState b = belief(f, w);
            met = met == null ? w : met;
            stands |= b == ReplicaState.STANDS;
            awaited |= b == ReplicaState.ORDERED;
            boolean may = maySend(j, w);
            boolean fits = may && hasRoom(j, w);
            beyond |= home && may && !fits && (b == ReplicaState.STANDS || b == ReplicaState.UNKNOWN);
            if (b == ReplicaState.STANDS && !home && fits) {
                stray = w;
            } else if (home && fits && (b == ReplicaState.STANDS || b == ReplicaState.UNKNOWN && guess)) {
                double load = load(w) + (b == ReplicaState.UNKNOWN ? STEP_ASIDE : 0)
                    + (crossingPriced && w.zone != zone ? 1.5 * STEP_ASIDE : 0) // own zone unless more loaded
                    + chance.nextDouble() * STEP_ASIDE * (1 - part);
                if (load < least - (best == null ? 0 : STEP_ASIDE * part)) {
                    other = best;
                    best = w;
                    least = load;
                } else if (other == null) {
                    other = w;
                }
            } else if (home && fits && unknown == null && (b == ReplicaState.UNKNOWN || loadsOnMiss)) {
                unknown = w;
            } else if (!home && more == null && b != ReplicaState.ORDERED && hasRoom(j, w)) {
                more = w;
            }
        }
        Worker to = best != null ? best : stray != null && loadsOnMiss || unknown == null ? stray : unknown;
        if (other != null && j.lookBy == null && look(j, best, other)) { return false; }
        if (best == null && beyond) { f.pressed++; }
        boolean fitsMemory = planned + f.size <= MEMORY * room;
        boolean further = to == null && beyond && !awaited && more != null && fitsMemory;
        if (further && belief(f, more) != ReplicaState.STANDS) { hold(f, more); } // it may, where it is too cold
        if (best == null && unknown == null && !awaited && !beyond) { holdFirst(f); }
        if (to != null) { send(j, to); }
        return to != null;
    }

    /** Asks two copies how loaded they are, where answers come too seldom to tell; the job waits for it. */
    private boolean look(Request j, Worker a, Worker b) {
        if (part == 1 || !mayAsk || !told) { return false; }
        j.lookBy = now.plus(step);
        for (Worker w : List.of(a, b)) {
            if (w.reported != null && less(now.minus(w.reported), soonest.dividedBy(4))) { continue; }
            if (w.looks.isEmpty()) { out.probe(w.id); }
            w.looks.add(j);
            j.looks++;
        }
        return j.looks > 0;
    }

    private boolean hasRoom(Request j, Worker w) {
        return (part == 1 || w.busy < BUSY || others(w) * w.slowness * Math.min(1, j.luck) < places(j.of))
            && w.flying - w.loading < bound(w) && w.flying < 3 * bound(w);
    }

    /** Orders the first of the k copies that does not stand; at size it is asked for first. */
    private void holdFirst(Function f) {
        int i = 0;
        for (Worker w : order(f)) {
            Replica c = f.at(w);
            if (shunned(w) || refusedLately(c)) { continue; }
            if (i++ >= f.target) { return; }
            if (belief(f, w) == ReplicaState.UNKNOWN && part < 1 && mayOrder && !c.asked) { // no ration
                c.asked = true;
                w.orders++;
                f.orders++;
                out.hold(w.id, f.id, 0);
                return;
            }
            if (!c.asked && c.belief != ReplicaState.STANDS && hold(f, w)) { return; }
        }
    }

    /** No room a moment ago, or it drains and the list is late: the next in order is asked. */
    private boolean refusedLately(Replica c) { return c.refused != null && less(now, c.refused.plus(SECOND)); }

    /** All ready workers, by rendezvous hashing of worker and function: the same order at every router. */
    private Worker[] order(Function f) {
        if (f.orderOf != listing) {
            List<Worker> all = new ArrayList<>();
            for (Worker w : workers) {
                if (w.standing == WorkerState.READY) { all.add(w); }
            }
            all.sort(Comparator.comparingDouble((Worker w) -> -draw(f, w)).thenComparingLong(w -> w.mark));
            f.order = all.toArray(new Worker[0]);
            f.orderOf = listing;
        }
        return f.order;
    }

    /** Weighted by told size, else by memory: a worker of half the size is home to half as many functions. */
    private static double draw(Function f, Worker w) {
        double u = ((mix(w.mark ^ mix(f.mark)) >>> 11) + 0.5) / (1L << 53);
        return -w.weight / Math.log(u);
    }

    private static long mix(long x) {
        x = (x ^ (x >>> 30)) * 0xbf58476d1ce4e5b9L;
        x = (x ^ (x >>> 27)) * 0x94d049bb133111ebL;
        return x ^ (x >>> 31);
    }

    /** What a further job would meet: own jobs and what others held, by slowness. */
    private double load(Worker w) {
        return (w.flying - w.loading + 1 + others(w)) * w.slowness / warmth(w);
    }

    /** Others' jobs at a worker: what its last answer told, which fades to the usual within seconds. */
    private double others(Worker w) {
        if (w.reported == null) { return usualOthers; }
        return usualOthers + (w.others - usualOthers) * Math.pow(0.5, seconds(now.minus(w.reported)) / FADE);
    }

    /** What a worker may hold of all routers: jobs met there over the time they took, times the target. */
    private double places(RequestClass of) {
        return of.took.total() < 1 ? ROOM : (of.took.total() + of.met.sum()) / of.took.sum();
    }

    /** Measured rate times half a target, and a few jobs; a floor, or pushbacks feed on themselves. */
    private double bound(Worker w) {
        double spent = w.took.total() < 1 ? 0 : w.took.quantile(0.5); // of a target; blind to loads
        double most = ROOM / routers + w.took.total() / 1.5 * seconds(soonest) / 2;
        double least = Math.max(1, Math.min(2, ROOM / routers) * warmth(w));
        return Math.max(least, most * Math.min(warmth(w), BRISK / spent));
    }

    /** Each second: k rises past the load mark, falls after some seconds under the unload mark. */
    private void eachSecond() {
        ownRate = 0;
        seconds++; // took, halved each second, holds between one and two seconds of jobs finished
        double all = (stretch.sum() + 4) / (stretch.total() + 4);
        for (Worker w : workers) {
            w.slowness = Math.max(0.5, (w.slow.sum() + 4 * all) / (w.slow.total() + 4) / all);
            if (w.bad.total() > ENOUGH || seconds % 8 == 0) { // or whoever meets it seldom knows nothing
                w.slow.halve();
                w.bad.halve();
            }
            w.empty &= cold(w); // later others may have loaded there what this router never heard of
            ownRate += w.standing == WorkerState.READY ? w.took.total() / 2 / ready : 0;
            w.took.halve();
        }
        usualOthers = (crowds.sum() + 1) / (crowds.total() + 1);
        if (crowds.total() > 64) { crowds.halve(); }
        stretch.halve();
        arrivals.within(now, rationSpan); // kept for their span, also where no order is asked for
        for (RequestClass of : workloads) { // or what is usual is what was usual days ago
            if (of.took.total() > 256) {
                of.took.halve();
                of.met.halve();
            }
        }
        told |= seconds % 64 == 0; // one that told no load may tell it later
        if (failing.total() > 64) { failing.halve(); }
        int cap = (int) Math.max(1, Math.ceil(ready * MOST_COPIES));
        planned = 0;
        kept = 0;
        for (Function f : functions) {
            boolean lately = less(now.minus(f.used), keep);
            planned += lately ? f.target * f.size : 0;
            kept += lately || f.jobs < 2 ? 0 : f.size;
        }
        for (Function f : functions) {
            pace(f, cap);
            if (stays) { stay(f); }
            double keeps = stays && f.jobs > 1 ? STAYS : 2;
            if (f.open == 0 && f.orders == 0 && !less(now.minus(f.used), times(keep, keeps))) {
                functions.set(f.id, null);
                out.forgetFunction(f.id);
            }
        }
        Arrays.setAll(customerCame, c -> customerCame[c] / 2);
        allCame /= 2;
    }

    private void pace(Function f, int cap) {
        double n = f.crowd.total();
        double crowd = n >= 0.5 ? f.crowd.sum() / (n + 1 - part) / f.target : 0;
        boolean past = n >= (part < 1 ? 0.5 : 2) && crowd > LOAD_MARK
            || f.pressed > 0 && f.pressed * 4 >= f.came; // one in four
        if (past || crowd > UNLOAD_MARK) { f.busySince = now; }
        if (past && f.target < cap && planned + f.size <= MEMORY * room) {
            double wanted = Math.min(cap, f.target * crowd / LOAD_MARK); // at size the whole way at once
            int steps = (int) Math.max(1, (wanted - f.target) * (1 - part));
            f.target += steps;
            planned += steps * f.size;
        } else if (f.target > 1 && !less(now.minus(f.busySince), keep)) {
            f.target--;
            planned -= f.size;
            Worker last = f.target < order(f).length ? order(f)[f.target] : null;
            f.busySince = now;
            if (drops && last != null && f.at(last).ordered != null && last.standing == WorkerState.READY) {
                out.drop(last.id, f.id); // only where idle memory is priced; else the copy expires by itself
                f.at(last).ordered = null;
                f.at(last).belief = ReplicaState.UNKNOWN;
            }
        }
        f.target = Math.min(f.target, Math.max(1, cap));
        if (f.came > 0 && (loadsOnMiss ? f.target > 1 : part >= 1)) { holdFirst(f); } // else a miss tells
        // Who hears of a function once in some seconds keeps what it heard for as long as copies live.
        if (part == 1 || n > ENOUGH || f.came == 0 && !less(now.minus(f.used), keep)) { f.crowd.halve(); }
        f.came = 0;
        f.pressed = 0;
    }

    /**
     * The design's one copy stays: its idle time begins anew before it is over, for some keep-alives
     * after the last job. Only where orders and memory cost little: no ration, no price, few routers, room.
     */
    private void stay(Function f) {
        if (f.jobs < 2 || planned + kept > MEMORY * room) { return; } // of one-off functions no copy stays
        for (Worker w : order(f)) {
            if (shunned(w)) { continue; }
            Replica c = f.at(w);
            if (belief(f, w) == ReplicaState.STANDS && !c.asked && !less(now.minus(c.used), times(keep, RENEW))) {
                c.asked = true; // told like a question: what is believed stays until it is answered
                w.orders++;
                f.orders++;
                out.hold(w.id, f.id, 1);
            }
            return;
        }
    }

    private ReplicaState belief(Function f, Worker w) {
        Replica c = f.at(w);
        boolean old = c.belief == ReplicaState.STANDS && !less(now.minus(c.used), keep);
        return c.belief = old ? ReplicaState.UNKNOWN : c.belief;
    }

    // ------------------------------------------------------------------ what comes in

    @Override public void job(int job, int workload, int customer, int function, long mark, Duration limit,
                              Duration hint, double size, int lanes, Duration load, boolean again) {
        Function f = functions.get(function);
        if (f == null) {
            f = new Function(function, mark, CROWD);
            f.busySince = now;
            functions.set(function, f);
        }
        f.lanes = lanes;
        f.size = size;
        f.used = now;
        f.came++;
        f.jobs++;
        f.open++;
        Request j = new Request(job, workloads[workload], f, now, limit, hint);
        boolean over = false;
        if (customer < customerCame.length) {
            customerCame[customer]++;
            allCame++;
            over = allCame > 20 && customerCame[customer] > 1.25 * fairShare[customer] * allCame;
        }
        j.value = j.of.value * (over ? overShare : 1);
        j.luck = chance.nextDouble() * mostValue / j.value; // past the bound of all routers: see hasRoom
        jobs.set(job, j);
        if (!rationSpan.isZero()) { arrivals.add(now); }
        // Whoever gives up sooner than we can answer only fills the workers, and more so as it tries again.
        placeOrWait(j, less(now.plus(times(expected(j), TOO_SHORT)).plus(margin), limit));
    }

    /** Places what waits, the most valuable first; gives up at once what can no longer be worth its place. */
    private void placeWaiting() {
        if (waiting.isEmpty()) { return; }
        waiting.sort(Comparator.comparingDouble((Request j) -> -worthNow(j)).thenComparing(j -> j.arrived));
        List<Request> still = new ArrayList<>();
        List<Worker> lines = new ArrayList<>();
        for (Request j : waiting) {
            if (j.closed || !j.waiting) { continue; }
            boolean looking = j.looks > 0 && less(now, j.lookBy);
            j.waiting = looking || !place(j);
            if (looking) { still.add(j); }
            if (looking || !j.waiting) { continue; }
            boolean onItsWay = !stands && awaited; // as place() just met it
            boolean tooLate = !less(now.plus(usual(j.of)).plus(margin), j.limit);
            boolean pastTarget = !onItsWay && !less(now.minus(j.arrived).plus(usual(j.of)), j.of.target);
            Worker home = stands ? met : null; // its line: one busy worker turns away its own
            double line = home == null ? 0 : Math.max(2, home.took.total() / 2 * seconds(j.of.target) / 2);
            boolean crowdedOut = home != null && home.ahead++ >= line * j.value / j.of.value;
            if (home != null) { lines.add(home); }
            if (tooLate || pastTarget || crowdedOut || j.executions.size() >= mostExecutions) {
                giveUp(j);
            } else {
                still.add(j);
            }
        }
        lines.forEach(w -> w.ahead = 0);
        waiting.clear();
        waiting.addAll(still);
    }

    private double worthNow(Request j) {
        return less(now.minus(j.arrived), j.of.target) ? j.value : j.value * j.of.late;
    }

    @Override public void ended(int job, int execution, int worker, AttemptOutcome end, Duration took, boolean closed,
                                int crowd, double busy, double held, double queued) {
        Request j = jobs.get(job);
        Worker w = workers.get(worker);
        Attempt x = j.executions.get(execution);
        Replica c = j.function.at(w);
        x.done = true;
        j.outstanding--;
        w.flying--;
        w.loading -= x.loads ? 1 : 0;
        report(j.of, w, busy, held, crowd, end == AttemptOutcome.FULL);
        if (crowd >= 0) { // waiting of all k copies, in lanes: of any k it stays true until the next answer
            j.function.crowd.add(crowd / Math.min(j.function.lanes, MOST_LANES) * j.function.target);
        }
        judge(j, x, w, end, took);
        if (end != AttemptOutcome.TIMED_OUT && end != AttemptOutcome.NO_CONNECTION) { w.heard = now; }
        if (end == AttemptOutcome.FINISHED) {
            c.belief = ReplicaState.STANDS;
            c.used = now;
            j.function.stood = true;
        } else if (end == AttemptOutcome.MISS) {
            if (c.belief != ReplicaState.ORDERED) { c.belief = ReplicaState.ABSENT; }
            hold(j.function, w);
        }
        if (!end.neverRan) { j.mayHaveRun++; }
        if (closed) {
            close(j);
        } else if (!j.closed && j.outstanding == 0) {
            if (end != AttemptOutcome.MISS) { j.failedAt.set(worker); }
            placeOrWait(j, j.executions.size() < mostExecutions // another one where allowed
                && (j.mayHaveRun == 0 || j.of.repeat != Idempotency.RUN_ONCE)
                && less(now.plus(margin).plus(usual(j.of)), j.limit));
        }
        settle(j);
    }

    private void placeOrWait(Request j, boolean may) {
        if (!may) {
            giveUp(j);
        } else if (j.waiting = !place(j)) {
            waiting.add(j);
        }
    }

    @Override public void orderEnded(int worker, int function, AttemptOutcome end, Duration took, int standing) {
        Worker w = workers.get(worker);
        Function f = functions.get(function);
        if (w == null || f == null) { return; }
        w.orders--;
        Replica c = f.at(w);
        f.orders--;
        boolean heard = c.asked; // a question's answer: it went out before any order
        c.asked = false;
        c.used = now;
        boolean lost = standing == 0 && end == AttemptOutcome.FULL; // held anew in vain
        if (heard ? lost || c.belief == ReplicaState.UNKNOWN : c.belief == ReplicaState.ORDERED) {
            c.belief = standing > 0 ? ReplicaState.STANDS : ReplicaState.ABSENT;
        }
        if (heard) { return; }
        c.out = false; // whatever is believed by now: such orders stayed counted for ever
        ordersOut--;
        c.refused = lost ? now : null;
        f.stood |= standing > 0;
        if (end == AttemptOutcome.ERROR && !f.stood) {
            f.failedOrders++;
            f.orderFailed = now;
        }
        boolean well = end == AttemptOutcome.FINISHED && less(took, keep.dividedBy(3));
        if (well) {
            ordersMost += 1 / ordersMost;
        } else if (end != AttemptOutcome.ERROR || f.stood) { // what never stood may be nobody's: no sign of the store
            ordersMost = Math.max(1, ordersMost / 2);
        }
        if (end == AttemptOutcome.NO_CONNECTION || end == AttemptOutcome.BROKEN) { fail(w, true); }
    }

    @Override public void left(int job) {
        Request j = jobs.get(job);
        close(j);
        for (int i = 0; mayCancel && i < j.executions.size(); i++) {
            if (!j.executions.get(i).done) { out.cancel(j.id, i); }
        }
        settle(j);
    }

    @Override public void streamBegan(int job, int execution) { } // the client has it now; its end will come

    @Override public void timer(long token) { nextStep = token == wakes ? null : nextStep; }

    @Override public void probed(int worker, AttemptOutcome end, Duration took, double busy, double held,
                                 double queued) {
        Worker w = workers.get(worker);
        if (w == null) { return; }
        w.looks.forEach(j -> j.looks--);
        w.looks.clear();
        report(null, w, busy, Double.isNaN(held) ? queued + w.flying : held, -1, false);
        if (end == AttemptOutcome.FINISHED) {
            w.heard = now;
            told = !Double.isNaN(held) || !Double.isNaN(queued);
        }
        if (end == AttemptOutcome.NO_CONNECTION || end == AttemptOutcome.BROKEN) { fail(w, true); }
    }

    /** Takes in what a worker tells; a full one is taken to hold twice what it may. */
    private void report(RequestClass of, Worker w, double busy, double holds, int crowd, boolean full) {
        // With few routers much of that is this one's own, as of a while ago: less today's, it is noise.
        double held = part < 1 ? holds : Double.NaN;
        if (Double.isNaN(held) && crowd < 0 && !full) { return; }
        double told = Double.isNaN(held) ? Math.max(crowd, others(w)) : held - w.flying;
        w.others = Math.max(0, full ? Math.max(told, 2 * places(of)) : told);
        w.reported = now;
        w.busy = full ? 1 : Double.isNaN(busy) ? w.busy : busy;
        crowds.add(Double.isNaN(held) ? Math.max(0, crowd) : w.others); // as told, or the usual only grows
    }

    // ------------------------------------------------------------------ the list of workers

    @Override public void listBegins(boolean whole) {
        wholeList = whole;
        workers.forEach(w -> w.named = false);
    }

    @Override public void worker(int worker, long mark, WorkerState standing, int zone, int cell, int kind,
                                 double size, Duration started) {
        Worker w = workers.get(worker);
        if (w == null) {
            w = new Worker(worker, mark, RATIOS, BAD, SPANS);
            w.started = started;
            w.empty = cold(w);
            workers.set(worker, w);
        }
        if (started != null && !started.equals(w.started)) {
            w.started = started;
            w.empty = cold(w);
            for (Function f : functions) { // a new process: empty, cold and not to blame for the old one
                if (f.at(w).belief != ReplicaState.ORDERED) { f.at(w).belief = ReplicaState.ABSENT; }
            }
            w.slow.clear();
            w.bad.clear();
            w.shunned = null;
            w.onTrial = false;
            w.strikes = 0;
        }
        w.named = true;
        w.standing = standing;
        w.zone = zone;
        w.cell = cell;
        w.memory = kind < kindMemory.length ? kindMemory[kind] : 0;
        w.weight = sizesTold && size > 0 ? size : Math.max(1, w.memory);
        w.started = started;
    }

    @Override public void listEnds() {
        ready = 0;
        room = 0;
        for (Worker w : workers) {
            if (wholeList && !w.named) { w.standing = WorkerState.GONE; }
            if (w.standing == WorkerState.GONE && w.flying + w.orders == 0) { forget(w); }
            if (w.standing == WorkerState.READY) {
                ready++;
                room += w.memory;
            }
        }
        ordersMost = ordersMost == 0 ? 1 + (double) ready / routers : ordersMost;
        listing++;
    }

    private void forget(Worker w) {
        workers.set(w.id, null);
        functions.forEach(f -> f.forget(w.id));
        jobs.forEach(j -> j.failedAt.clear(w.id));
        out.forgetWorker(w.id);
    }

    @Override public void listFailed() {
        nextAsk = now.plus(least(askEvery == null ? SECOND : askEvery, SECOND));
    }

    // ------------------------------------------------------------------ health

    /** Judges a worker by its own outcomes against its peers'; what proves nothing of it is left out. */
    private void judge(Request j, Attempt x, Worker w, AttemptOutcome end, Duration took) {
        if (end == AttemptOutcome.FINISHED) {
            w.took.add(seconds(took) / seconds(j.of.target));
            if (x.stood) {
                double u = seconds(j.hint != null && !j.hint.isZero() ? j.hint : usual(j.of));
                w.slow.add(seconds(took) / u);
                stretch.add(seconds(took) / u);
                j.of.took.add(seconds(took) / seconds(j.of.target));
                j.of.met.add(w.others);
            }
            w.bad.add(0);
            failing.add(0);
            w.strikes = w.onTrial ? 0 : w.strikes;
            w.onTrial = false;
            if (j.erred != null) { fail(j.erred, false); } // so the fault was that worker's
            j.erred = null;
        } else if (end == AttemptOutcome.ERROR && !j.function.stood) {
            j.erred = w; // of what never stood anywhere the fault may be the call's own
        } else if (end == AttemptOutcome.ERROR || end == AttemptOutcome.BROKEN || end == AttemptOutcome.NO_CONNECTION
            // A hung worker answers nothing; where answers get lost, others of the same worker come.
            || end == AttemptOutcome.TIMED_OUT && !less(took, j.of.target) && less(w.heard, now.minus(took))) {
            fail(w, end == AttemptOutcome.NO_CONNECTION);
        }
    }

    private void fail(Worker w, boolean surely) {
        w.bad.add(1);
        failing.add(1);
        double share = (failing.from(1) + 1) / (failing.total() + 10); // one in ten where nothing is known
        if (surely || w.onTrial || w.bad.from(1) >= Math.max(2, 2 * share * w.bad.total())) { strike(w); }
    }

    /** Shuns a worker for a while, longer each time, as long as not too many are shunned already. */
    private void strike(Worker w) {
        int n = 1;
        for (Worker o : workers) { n += o.standing == WorkerState.READY && shunned(o) ? 1 : 0; }
        if (shunned(w) || n > ready * SHUN_MOST) { return; }
        w.shunned = now.plus(SECOND.multipliedBy(1L << Math.min(3, w.strikes++) /* 1, 2, 4, then 8 s */));
        w.onTrial = true;
        w.slow.clear();
        w.bad.clear();
    }

    private boolean shunned(Worker w) {
        return w.shunned != null && (less(now, w.shunned) || w.onTrial && w.flying > 0);
    }

    /** What this job should take: its hint, stretched as others were, else its workload's usual time. */
    private Duration expected(Request j) {
        double q = stretch.quantile(0.5);
        boolean hinted = j.hint != null && !j.hint.isZero() && !Double.isNaN(q);
        return hinted ? times(j.hint, q) : usual(j.of);
    }

    private static Duration usual(RequestClass of) {
        return times(of.target, of.took.total() == 0 ? 0.25 : of.took.quantile(0.5));
    }

    // ------------------------------------------------------------------ guards: each rule in one place

    /** Rules 2, 3 and 4: whether this job may be sent to this worker now. */
    private boolean maySend(Request j, Worker w) {
        if (j.closed || w.standing != WorkerState.READY || j.executions.size() >= mostExecutions
            || j.outstanding > 0 && (!second || j.of.repeat == Idempotency.RUN_ONCE)
            || !less(now.plus(margin), j.limit)) {
            return false;
        }
        if (j.mayHaveRun + j.outstanding > 0) {
            if (j.of.repeat == Idempotency.RUN_ONCE) { return false; }
            if (j.of.repeat == Idempotency.FINGERPRINTED
                && (!less(now.minus(j.anchored), j.of.memory.minus(margin))
                || j.of.group == DeduplicationScope.ZONE && w.zone != j.anchor.zone
                || j.of.group == DeduplicationScope.CELL && (w.cell != j.anchor.cell || w.zone != j.anchor.zone))) {
                return false;
            }
        }
        return warmEnough(w);
    }

    private boolean cold(Worker w) { return w.started != null && less(now.minus(w.started), coldSpan); }

    /** The share of its capacity that a worker has at the least, as it was a span of rule 4 ago. */
    private double warmth(Worker w) {
        if (w.started == null) { return 1; }
        double since = Math.max(0, seconds(now.minus(w.started).minus(fallSpan)));
        return Math.min(1, coldShare + (1 - coldShare) * since / seconds(coldSpan));
    }

    /** Rule 4: this router's part of what a cold worker can take; a part below one job goes by turns. */
    private boolean warmEnough(Worker w) {
        if (!cold(w)) { return true; }
        int sent = w.coldSends.within(now, fallSpan);
        double rate = Arrays.stream(workloads).mapToDouble(x -> 1 / seconds(usual(x))).min().orElse(0);
        // A warm worker bears one job after the other, and what it gets; two thirds, as the two can add up.
        double part = coldBudget * warmth(w) * seconds(fallSpan) * Math.max(rate, ownRate * routers) * 2 / 3;
        if (part >= 1) { return sent < Math.floor(part); }
        // One router a turn starved successors at size: so many that half of it is used at a warm one's rate.
        long turns = (long) Math.min(routers, Math.ceil(3 / (coldBudget * routers * warmth(w))));
        return sent == 0 && (now.minus(w.started).dividedBy(fallSpan) + self) % turns == 0;
    }

    private void send(Request j, Worker w) {
        Attempt x = new Attempt(belief(j.function, w) == ReplicaState.STANDS, loadsOnMiss);
        j.executions.add(x);
        j.outstanding++;
        if (j.mayHaveRun == 0 && j.outstanding == 1) {
            j.anchor = w;
            j.anchored = now;
        }
        w.flying++;
        w.loading += x.loads ? 1 : 0; // waits for the load, takes no core
        j.function.at(w).used = now;
        if (cold(w)) { w.coldSends.add(now); }
        out.send(j.id, w.id, j.limit.minus(now).minus(margin));
    }

    /** Rules 3 and 5, and the shared store's pace: whether an order goes out, and the order itself. */
    private boolean hold(Function f, Worker w) {
        Replica c = f.at(w);
        boolean nobodys = !f.stood && f.failedOrders > 1 && less(now, f.orderFailed.plus(SECOND));
        if (!mayOrder || w.standing != WorkerState.READY || c.out || shunned(w) || refusedLately(c) || nobodys
            || ordersOut >= Math.max(1, ordersMost)) {
            return false;
        }
        if (!rationSpan.isZero() && orders.within(now, rationSpan.plus(margin)) + 1
            > rationFree + rationShare * arrivals.within(now, rationSpan.minus(margin))) {
            return false;
        }
        if (!rationSpan.isZero()) { orders.add(now); }
        c.belief = ReplicaState.ORDERED;
        c.ordered = now;
        c.out = true;
        ordersOut++;
        w.orders++;
        f.orders++;
        out.hold(w.id, f.id, 1);
        return true;
    }

    /** Rule 1 and 2: the one final answer, at once; a pushback only where a repeat is harmless. */
    private void giveUp(Request j) {
        if (j.closed) { return; }
        boolean harmless = switch (j.of.repeat) {
            case RESTARTABLE -> true;
            case FINGERPRINTED -> j.mayHaveRun + j.outstanding == 0 || j.of.group == DeduplicationScope.ALL;
            case RUN_ONCE -> j.mayHaveRun + j.outstanding == 0;
        };
        Duration back = comeBack == null ? null : times(comeBack, 0.5 + chance.nextDouble() / 2);
        if (harmless) { out.pushBack(j.id, back); } else { out.kill(j.id); }
        close(j);
        settle(j);
    }

    private void close(Request j) {
        j.function.open -= j.closed ? 0 : 1;
        j.waiting = false;
        j.closed = true;
    }

    /** A closed job is forgotten with its last execution's end. */
    private void settle(Request j) {
        if (j.closed && j.outstanding == 0 && jobs.get(j.id) == j) {
            jobs.set(j.id, null);
            out.forgetJob(j.id);
        }
    }
}

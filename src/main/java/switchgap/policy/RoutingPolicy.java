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
import switchgap.policy.state.Replica.State;
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
        self = t.routerIndex();
        zone = t.zone();
        crossingPriced = t.crossZonePrice() > 0;
        routers = Math.max(1, t.routerCount());
        part = Math.min(1, ROOM / routers);
        margin = t.tickInterval().multipliedBy(2);
        workloads = new RequestClass[t.requestClassCount()];
        Arrays.setAll(workloads, i -> new RequestClass(t, i, SPANS, JOBS));
        mostValue = Arrays.stream(workloads).mapToDouble(x -> x.priorityWeight).max().orElse(1);
        soonest = Arrays.stream(workloads).map(x -> x.latencyObjective).min(Comparator.naturalOrder()).orElseThrow();
        step = max(t.tickInterval(), soonest.dividedBy(20));
        fairShare = new double[t.tenantCount()];
        customerCame = new double[t.tenantCount()];
        Arrays.setAll(fairShare, t::tenantQuota);
        double all = Math.max(Arrays.stream(fairShare).sum(), Double.MIN_NORMAL);
        Arrays.setAll(fairShare, c -> fairShare[c] / all);
        overShare = t.overQuotaWeight();
        mostExecutions = t.maxAttempts();
        second = t.hedgingAllowed();
        mayCancel = t.cancellationAllowed();
        comeBack = t.retryAfterAllowed() ? min(t.maxRetryAfter(), soonest) : null;
        loadsOnMiss = t.loadsOnDemand();
        mayOrder = t.loadCommandsAllowed();
        mayAsk = t.probesAllowed() && 2 * t.probePrice() < LOOK_EARNS; // a look is two questions
        keep = t.replicaIdleTimeout();
        kindMemory = t.workerKindMemory();
        sizesTold = t.capacityReported();
        drops = t.idleMemoryPrice() > 0 && mayOrder;
        stays = mayOrder && t.idleMemoryPrice() == 0 && t.loadQuotaWindow().isZero() && part == 1;
        rationFree = t.loadQuotaBase();
        rationShare = t.loadQuotaPerRequest();
        rationSpan = t.loadQuotaWindow();
        coldShare = t.coldCapacityShare();
        coldSpan = t.warmUpDuration();
        fallSpan = t.coldOverloadWindow();
        coldBudget = t.coldOverloadMultiple() / routers;
        askEvery = t.pollsEndpointList() ? t.endpointPollInterval().dividedBy(4) : null;
    }

    public void round(Duration at, EventBatch in, PolicyActions to) {
        now = at;
        out = to;
        in.deliverTo(this);
        if (askEvery != null && !isShorter(now, nextAsk)) {
            out.subscribeToEndpoints();
            nextAsk = now.plus(askEvery);
        }
        if (!isShorter(now, nextSecond)) {
            eachSecond();
            nextSecond = now.plus(SECOND);
        }
        placeWaiting();
        Duration due = waiting.isEmpty() ? nextSecond : min(now.plus(step), nextSecond);
        if (nextStep == null || isShorter(nextStep, now) || isShorter(due, nextStep)) { // a lost one is not waited for
            out.scheduleWakeUp(due.minus(now), ++wakes);
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
        boolean avoid = j.failedWorkers.cardinality() < ready;
        boolean guess = part < 1 && !loadsOnMiss && j.attempts.size() + 1 < mostExecutions;
        boolean beyond = false;
        double least = Double.MAX_VALUE;
        int i = 0;
        met = null;
        stands = awaited = false;
        for (Worker w : order(f)) {
            if (shunned(w) || avoid && j.failedWorkers.get(w.id)) { continue; }
            boolean home = i++ < f.targetReplicas;
            if (!home && (best != null || stray != null || i > 2 * f.targetReplicas + FURTHER)) { break; }
            State b = belief(f, w);
            met = met == null ? w : met;
            stands |= b == State.LOADED;
            awaited |= b == State.LOADING;
            boolean may = maySend(j, w);
            boolean fits = may && hasRoom(j, w);
            beyond |= home && may && !fits && (b == State.LOADED || b == State.UNKNOWN);
            if (b == State.LOADED && !home && fits) {
                stray = w;
            } else if (home && fits && (b == State.LOADED || b == State.UNKNOWN && guess)) {
                double load = load(w) + (b == State.UNKNOWN ? STEP_ASIDE : 0)
                    + (crossingPriced && w.zone != zone ? 1.5 * STEP_ASIDE : 0) // own zone unless more loaded
                    + chance.nextDouble() * STEP_ASIDE * (1 - part);
                if (load < least - (best == null ? 0 : STEP_ASIDE * part)) {
                    other = best;
                    best = w;
                    least = load;
                } else if (other == null) {
                    other = w;
                }
            } else if (home && fits && unknown == null && (b == State.UNKNOWN || loadsOnMiss)) {
                unknown = w;
            } else if (!home && more == null && b != State.LOADING && hasRoom(j, w)) {
                more = w;
            }
        }
        Worker to = best != null ? best : stray != null && loadsOnMiss || unknown == null ? stray : unknown;
        if (other != null && j.probeDeadline == null && look(j, best, other)) { return false; }
        if (best == null && beyond) { f.saturatedArrivals++; }
        boolean fitsMemory = planned + f.memoryMb <= MEMORY * room;
        boolean further = to == null && beyond && !awaited && more != null && fitsMemory;
        if (further && belief(f, more) != State.LOADED) { hold(f, more); } // it may, where it is too cold
        if (best == null && unknown == null && !awaited && !beyond) { holdFirst(f); }
        if (to != null) { send(j, to); }
        return to != null;
    }

    /** Asks two copies how loaded they are, where answers come too seldom to tell; the job waits for it. */
    private boolean look(Request j, Worker a, Worker b) {
        if (part == 1 || !mayAsk || !told) { return false; }
        j.probeDeadline = now.plus(step);
        for (Worker w : List.of(a, b)) {
            if (w.lastReport != null && isShorter(now.minus(w.lastReport), soonest.dividedBy(4))) { continue; }
            if (w.awaitingProbe.isEmpty()) { out.probe(w.id); }
            w.awaitingProbe.add(j);
            j.pendingProbes++;
        }
        return j.pendingProbes > 0;
    }

    private boolean hasRoom(Request j, Worker w) {
        return (part == 1 || w.cpuUtilization < BUSY || others(w) * w.latencyRatio * Math.min(1, j.capacityDraw) < places(j.requestClass))
            && w.inFlight - w.waitingForLoad < bound(w) && w.inFlight < 3 * bound(w);
    }

    /** Orders the first of the k copies that does not stand; at size it is asked for first. */
    private void holdFirst(Function f) {
        int i = 0;
        for (Worker w : order(f)) {
            Replica c = f.replicaAt(w);
            if (shunned(w) || refusedLately(c)) { continue; }
            if (i++ >= f.targetReplicas) { return; }
            if (belief(f, w) == State.UNKNOWN && part < 1 && mayOrder && !c.queryPending) { // no ration
                c.queryPending = true;
                w.pendingCommands++;
                f.pendingCommands++;
                out.load(w.id, f.id, 0);
                return;
            }
            if (!c.queryPending && c.state != State.LOADED && hold(f, w)) { return; }
        }
    }

    /** No room a moment ago, or it drains and the list is late: the next in order is asked. */
    private boolean refusedLately(Replica c) { return c.loadRefusedAt != null && isShorter(now, c.loadRefusedAt.plus(SECOND)); }

    /** All ready workers, by rendezvous hashing of worker and function: the same order at every router. */
    private Worker[] order(Function f) {
        if (f.hashOrderVersion != listing) {
            List<Worker> all = new ArrayList<>();
            for (Worker w : workers) {
                if (w.state == WorkerState.READY) { all.add(w); }
            }
            all.sort(Comparator.comparingDouble((Worker w) -> -draw(f, w)).thenComparingLong(w -> w.hash));
            f.workersByHash = all.toArray(new Worker[0]);
            f.hashOrderVersion = listing;
        }
        return f.workersByHash;
    }

    /** Weighted by told size, else by memory: a worker of half the size is home to half as many functions. */
    private static double draw(Function f, Worker w) {
        double u = ((mix(w.hash ^ mix(f.hash)) >>> 11) + 0.5) / (1L << 53);
        return -w.hashWeight / Math.log(u);
    }

    private static long mix(long x) {
        x = (x ^ (x >>> 30)) * 0xbf58476d1ce4e5b9L;
        x = (x ^ (x >>> 27)) * 0x94d049bb133111ebL;
        return x ^ (x >>> 31);
    }

    /** What a further job would meet: own jobs and what others held, by slowness. */
    private double load(Worker w) {
        return (w.inFlight - w.waitingForLoad + 1 + others(w)) * w.latencyRatio / warmth(w);
    }

    /** Others' jobs at a worker: what its last answer told, which fades to the usual within seconds. */
    private double others(Worker w) {
        if (w.lastReport == null) { return usualOthers; }
        return usualOthers + (w.foreignLoad - usualOthers) * Math.pow(0.5, toSeconds(now.minus(w.lastReport)) / FADE);
    }

    /** What a worker may hold of all routers: jobs met there over the time they took, times the target. */
    private double places(RequestClass of) {
        return of.relativeDurations.total() < 1 ? ROOM : (of.relativeDurations.total() + of.foreignLoads.sum()) / of.relativeDurations.sum();
    }

    /** Measured rate times half a target, and a few jobs; a floor, or pushbacks feed on themselves. */
    private double bound(Worker w) {
        double spent = w.relativeDurations.total() < 1 ? 0 : w.relativeDurations.quantile(0.5); // of a target; blind to loads
        double most = ROOM / routers + w.relativeDurations.total() / 1.5 * toSeconds(soonest) / 2;
        double least = Math.max(1, Math.min(2, ROOM / routers) * warmth(w));
        return Math.max(least, most * Math.min(warmth(w), BRISK / spent));
    }

    /** Each second: k rises past the load mark, falls after some seconds under the unload mark. */
    private void eachSecond() {
        ownRate = 0;
        seconds++; // took, halved each second, holds between one and two seconds of jobs finished
        double all = (stretch.sum() + 4) / (stretch.total() + 4);
        for (Worker w : workers) {
            w.latencyRatio = Math.max(0.5, (w.latencyRatios.sum() + 4 * all) / (w.latencyRatios.total() + 4) / all);
            if (w.errors.total() > ENOUGH || seconds % 8 == 0) { // or whoever meets it seldom knows nothing
                w.latencyRatios.halve();
                w.errors.halve();
            }
            w.presumedEmpty &= cold(w); // later others may have loaded there what this router never heard of
            ownRate += w.state == WorkerState.READY ? w.relativeDurations.total() / 2 / ready : 0;
            w.relativeDurations.halve();
        }
        usualOthers = (crowds.sum() + 1) / (crowds.total() + 1);
        if (crowds.total() > 64) { crowds.halve(); }
        stretch.halve();
        arrivals.countWithin(now, rationSpan); // kept for their span, also where no order is asked for
        for (RequestClass of : workloads) { // or what is usual is what was usual days ago
            if (of.relativeDurations.total() > 256) {
                of.relativeDurations.halve();
                of.foreignLoads.halve();
            }
        }
        told |= seconds % 64 == 0; // one that told no load may tell it later
        if (failing.total() > 64) { failing.halve(); }
        int cap = (int) Math.max(1, Math.ceil(ready * MOST_COPIES));
        planned = 0;
        kept = 0;
        for (Function f : functions) {
            boolean lately = isShorter(now.minus(f.lastRequest), keep);
            planned += lately ? f.targetReplicas * f.memoryMb : 0;
            kept += lately || f.totalRequests < 2 ? 0 : f.memoryMb;
        }
        for (Function f : functions) {
            pace(f, cap);
            if (stays) { stay(f); }
            double keeps = stays && f.totalRequests > 1 ? STAYS : 2;
            if (f.openRequests == 0 && f.pendingCommands == 0 && !isShorter(now.minus(f.lastRequest), scale(keep, keeps))) {
                functions.set(f.id, null);
                out.releaseFunction(f.id);
            }
        }
        Arrays.setAll(customerCame, c -> customerCame[c] / 2);
        allCame /= 2;
    }

    private void pace(Function f, int cap) {
        double n = f.concurrency.total();
        double crowd = n >= 0.5 ? f.concurrency.sum() / (n + 1 - part) / f.targetReplicas : 0;
        boolean past = n >= (part < 1 ? 0.5 : 2) && crowd > LOAD_MARK
            || f.saturatedArrivals > 0 && f.saturatedArrivals * 4 >= f.recentArrivals; // one in four
        if (past || crowd > UNLOAD_MARK) { f.lastBusy = now; }
        if (past && f.targetReplicas < cap && planned + f.memoryMb <= MEMORY * room) {
            double wanted = Math.min(cap, f.targetReplicas * crowd / LOAD_MARK); // at size the whole way at once
            int steps = (int) Math.max(1, (wanted - f.targetReplicas) * (1 - part));
            f.targetReplicas += steps;
            planned += steps * f.memoryMb;
        } else if (f.targetReplicas > 1 && !isShorter(now.minus(f.lastBusy), keep)) {
            f.targetReplicas--;
            planned -= f.memoryMb;
            Worker last = f.targetReplicas < order(f).length ? order(f)[f.targetReplicas] : null;
            f.lastBusy = now;
            if (drops && last != null && f.replicaAt(last).loadCommandedAt != null && last.state == WorkerState.READY) {
                out.unload(last.id, f.id); // only where idle memory is priced; else the copy expires by itself
                f.replicaAt(last).loadCommandedAt = null;
                f.replicaAt(last).state = State.UNKNOWN;
            }
        }
        f.targetReplicas = Math.min(f.targetReplicas, Math.max(1, cap));
        if (f.recentArrivals > 0 && (loadsOnMiss ? f.targetReplicas > 1 : part >= 1)) { holdFirst(f); } // else a miss tells
        // Who hears of a function once in some seconds keeps what it heard for as long as copies live.
        if (part == 1 || n > ENOUGH || f.recentArrivals == 0 && !isShorter(now.minus(f.lastRequest), keep)) { f.concurrency.halve(); }
        f.recentArrivals = 0;
        f.saturatedArrivals = 0;
    }

    /**
     * The design's one copy stays: its idle time begins anew before it is over, for some keep-alives
     * after the last job. Only where orders and memory cost little: no ration, no price, few routers, room.
     */
    private void stay(Function f) {
        if (f.totalRequests < 2 || planned + kept > MEMORY * room) { return; } // of one-off functions no copy stays
        for (Worker w : order(f)) {
            if (shunned(w)) { continue; }
            Replica c = f.replicaAt(w);
            if (belief(f, w) == State.LOADED && !c.queryPending && !isShorter(now.minus(c.lastUsed), scale(keep, RENEW))) {
                c.queryPending = true; // told like a question: what is believed stays until it is answered
                w.pendingCommands++;
                f.pendingCommands++;
                out.load(w.id, f.id, 1);
            }
            return;
        }
    }

    private State belief(Function f, Worker w) {
        Replica c = f.replicaAt(w);
        boolean old = c.state == State.LOADED && !isShorter(now.minus(c.lastUsed), keep);
        return c.state = old ? State.UNKNOWN : c.state;
    }

    // ------------------------------------------------------------------ what comes in

    @Override public void requestArrived(int job, int workload, int customer, int function, long mark, Duration limit,
                              Duration hint, double size, int lanes, Duration load, boolean again) {
        Function f = functions.get(function);
        if (f == null) {
            f = new Function(function, mark, CROWD);
            f.lastBusy = now;
            functions.set(function, f);
        }
        f.slots = lanes;
        f.memoryMb = size;
        f.lastRequest = now;
        f.recentArrivals++;
        f.totalRequests++;
        f.openRequests++;
        Request j = new Request(job, workloads[workload], f, now, limit, hint);
        boolean over = false;
        if (customer < customerCame.length) {
            customerCame[customer]++;
            allCame++;
            over = allCame > 20 && customerCame[customer] > 1.25 * fairShare[customer] * allCame;
        }
        j.weight = j.requestClass.priorityWeight * (over ? overShare : 1);
        j.capacityDraw = chance.nextDouble() * mostValue / j.weight; // past the bound of all routers: see hasRoom
        jobs.set(job, j);
        if (!rationSpan.isZero()) { arrivals.add(now); }
        // Whoever gives up sooner than we can answer only fills the workers, and more so as it tries again.
        placeOrWait(j, isShorter(now.plus(scale(expected(j), TOO_SHORT)).plus(margin), limit));
    }

    /** Places what waits, the most valuable first; gives up at once what can no longer be worth its place. */
    private void placeWaiting() {
        if (waiting.isEmpty()) { return; }
        waiting.sort(Comparator.comparingDouble((Request j) -> -worthNow(j)).thenComparing(j -> j.arrivedAt));
        List<Request> still = new ArrayList<>();
        List<Worker> lines = new ArrayList<>();
        for (Request j : waiting) {
            if (j.closed || !j.queued) { continue; }
            boolean looking = j.pendingProbes > 0 && isShorter(now, j.probeDeadline);
            j.queued = looking || !place(j);
            if (looking) { still.add(j); }
            if (looking || !j.queued) { continue; }
            boolean onItsWay = !stands && awaited; // as place() just met it
            boolean tooLate = !isShorter(now.plus(usual(j.requestClass)).plus(margin), j.deadline);
            boolean pastTarget = !onItsWay && !isShorter(now.minus(j.arrivedAt).plus(usual(j.requestClass)), j.requestClass.latencyObjective);
            Worker home = stands ? met : null; // its line: one busy worker turns away its own
            double line = home == null ? 0 : Math.max(2, home.relativeDurations.total() / 2 * toSeconds(j.requestClass.latencyObjective) / 2);
            boolean crowdedOut = home != null && home.queuedAhead++ >= line * j.weight / j.requestClass.priorityWeight;
            if (home != null) { lines.add(home); }
            if (tooLate || pastTarget || crowdedOut || j.attempts.size() >= mostExecutions) {
                giveUp(j);
            } else {
                still.add(j);
            }
        }
        lines.forEach(w -> w.queuedAhead = 0);
        waiting.clear();
        waiting.addAll(still);
    }

    private double worthNow(Request j) {
        return isShorter(now.minus(j.arrivedAt), j.requestClass.latencyObjective) ? j.weight : j.weight * j.requestClass.lateValueShare;
    }

    @Override public void attemptEnded(int job, int execution, int worker, AttemptOutcome end, Duration took, boolean closed,
                                int crowd, double busy, double held, double queued) {
        Request j = jobs.get(job);
        Worker w = workers.get(worker);
        Attempt x = j.attempts.get(execution);
        Replica c = j.function.replicaAt(w);
        x.ended = true;
        j.inFlight--;
        w.inFlight--;
        w.waitingForLoad -= x.waitsForLoad ? 1 : 0;
        report(j.requestClass, w, busy, held, crowd, end == AttemptOutcome.REJECTED);
        if (crowd >= 0) { // waiting of all k copies, in lanes: of any k it stays true until the next answer
            j.function.concurrency.add(crowd / Math.min(j.function.slots, MOST_LANES) * j.function.targetReplicas);
        }
        judge(j, x, w, end, took);
        if (end != AttemptOutcome.TIMED_OUT && end != AttemptOutcome.CONNECT_FAILED) { w.lastResponse = now; }
        if (end == AttemptOutcome.SUCCEEDED) {
            c.state = State.LOADED;
            c.lastUsed = now;
            j.function.everLoaded = true;
        } else if (end == AttemptOutcome.NOT_LOADED) {
            if (c.state != State.LOADING) { c.state = State.ABSENT; }
            hold(j.function, w);
        }
        if (!end.neverExecuted) { j.possibleExecutions++; }
        if (closed) {
            close(j);
        } else if (!j.closed && j.inFlight == 0) {
            if (end != AttemptOutcome.NOT_LOADED) { j.failedWorkers.set(worker); }
            placeOrWait(j, j.attempts.size() < mostExecutions // another one where allowed
                && (j.possibleExecutions == 0 || j.requestClass.idempotency != Idempotency.NON_IDEMPOTENT)
                && isShorter(now.plus(margin).plus(usual(j.requestClass)), j.deadline));
        }
        settle(j);
    }

    private void placeOrWait(Request j, boolean may) {
        if (!may) {
            giveUp(j);
        } else if (j.queued = !place(j)) {
            waiting.add(j);
        }
    }

    @Override public void loadCommandEnded(int worker, int function, AttemptOutcome end, Duration took, int standing) {
        Worker w = workers.get(worker);
        Function f = functions.get(function);
        if (w == null || f == null) { return; }
        w.pendingCommands--;
        Replica c = f.replicaAt(w);
        f.pendingCommands--;
        boolean heard = c.queryPending; // a question's answer: it went out before any order
        c.queryPending = false;
        c.lastUsed = now;
        boolean lost = standing == 0 && end == AttemptOutcome.REJECTED; // held anew in vain
        if (heard ? lost || c.state == State.UNKNOWN : c.state == State.LOADING) {
            c.state = standing > 0 ? State.LOADED : State.ABSENT;
        }
        if (heard) { return; }
        c.loadPending = false; // whatever is believed by now: such orders stayed counted for ever
        ordersOut--;
        c.loadRefusedAt = lost ? now : null;
        f.everLoaded |= standing > 0;
        if (end == AttemptOutcome.FAILED && !f.everLoaded) {
            f.failedLoads++;
            f.lastLoadFailure = now;
        }
        boolean well = end == AttemptOutcome.SUCCEEDED && isShorter(took, keep.dividedBy(3));
        if (well) {
            ordersMost += 1 / ordersMost;
        } else if (end != AttemptOutcome.FAILED || f.everLoaded) { // what never stood may be nobody's: no sign of the store
            ordersMost = Math.max(1, ordersMost / 2);
        }
        if (end == AttemptOutcome.CONNECT_FAILED || end == AttemptOutcome.CONNECTION_LOST) { fail(w, true); }
    }

    @Override public void clientLeft(int job) {
        Request j = jobs.get(job);
        close(j);
        for (int i = 0; mayCancel && i < j.attempts.size(); i++) {
            if (!j.attempts.get(i).ended) { out.cancelAttempt(j.id, i); }
        }
        settle(j);
    }

    @Override public void responseStarted(int job, int execution) { } // the client has it now; its end will come

    @Override public void wakeUp(long token) { nextStep = token == wakes ? null : nextStep; }

    @Override public void probeEnded(int worker, AttemptOutcome end, Duration took, double busy, double held,
                                 double queued) {
        Worker w = workers.get(worker);
        if (w == null) { return; }
        w.awaitingProbe.forEach(j -> j.pendingProbes--);
        w.awaitingProbe.clear();
        report(null, w, busy, Double.isNaN(held) ? queued + w.inFlight : held, -1, false);
        if (end == AttemptOutcome.SUCCEEDED) {
            w.lastResponse = now;
            told = !Double.isNaN(held) || !Double.isNaN(queued);
        }
        if (end == AttemptOutcome.CONNECT_FAILED || end == AttemptOutcome.CONNECTION_LOST) { fail(w, true); }
    }

    /** Takes in what a worker tells; a full one is taken to hold twice what it may. */
    private void report(RequestClass of, Worker w, double busy, double holds, int crowd, boolean full) {
        // With few routers much of that is this one's own, as of a while ago: less today's, it is noise.
        double held = part < 1 ? holds : Double.NaN;
        if (Double.isNaN(held) && crowd < 0 && !full) { return; }
        double told = Double.isNaN(held) ? Math.max(crowd, others(w)) : held - w.inFlight;
        w.foreignLoad = Math.max(0, full ? Math.max(told, 2 * places(of)) : told);
        w.lastReport = now;
        w.cpuUtilization = full ? 1 : Double.isNaN(busy) ? w.cpuUtilization : busy;
        crowds.add(Double.isNaN(held) ? Math.max(0, crowd) : w.foreignLoad); // as told, or the usual only grows
    }

    // ------------------------------------------------------------------ the list of workers

    @Override public void endpointListStarted(boolean whole) {
        wholeList = whole;
        workers.forEach(w -> w.listed = false);
    }

    @Override public void endpointListed(int worker, long mark, WorkerState standing, int zone, int cell, int kind,
                                 double size, Duration started) {
        Worker w = workers.get(worker);
        if (w == null) {
            w = new Worker(worker, mark, RATIOS, BAD, SPANS);
            w.startedAt = started;
            w.presumedEmpty = cold(w);
            workers.set(worker, w);
        }
        if (started != null && !started.equals(w.startedAt)) {
            w.startedAt = started;
            w.presumedEmpty = cold(w);
            for (Function f : functions) { // a new process: empty, cold and not to blame for the old one
                if (f.replicaAt(w).state != State.LOADING) { f.replicaAt(w).state = State.ABSENT; }
            }
            w.latencyRatios.clear();
            w.errors.clear();
            w.ejectedUntil = null;
            w.onProbation = false;
            w.ejectionCount = 0;
        }
        w.listed = true;
        w.state = standing;
        w.zone = zone;
        w.cell = cell;
        w.memoryMb = kind < kindMemory.length ? kindMemory[kind] : 0;
        w.hashWeight = sizesTold && size > 0 ? size : Math.max(1, w.memoryMb);
        w.startedAt = started;
    }

    @Override public void endpointListEnded() {
        ready = 0;
        room = 0;
        for (Worker w : workers) {
            if (wholeList && !w.listed) { w.state = WorkerState.GONE; }
            if (w.state == WorkerState.GONE && w.inFlight + w.pendingCommands == 0) { forget(w); }
            if (w.state == WorkerState.READY) {
                ready++;
                room += w.memoryMb;
            }
        }
        ordersMost = ordersMost == 0 ? 1 + (double) ready / routers : ordersMost;
        listing++;
    }

    private void forget(Worker w) {
        workers.set(w.id, null);
        functions.forEach(f -> f.forget(w.id));
        jobs.forEach(j -> j.failedWorkers.clear(w.id));
        out.releaseWorker(w.id);
    }

    @Override public void endpointListFailed() {
        nextAsk = now.plus(min(askEvery == null ? SECOND : askEvery, SECOND));
    }

    // ------------------------------------------------------------------ health

    /** Judges a worker by its own outcomes against its peers'; what proves nothing of it is left out. */
    private void judge(Request j, Attempt x, Worker w, AttemptOutcome end, Duration took) {
        if (end == AttemptOutcome.SUCCEEDED) {
            w.relativeDurations.add(toSeconds(took) / toSeconds(j.requestClass.latencyObjective));
            if (x.replicaLoaded) {
                double u = toSeconds(j.durationHint != null && !j.durationHint.isZero() ? j.durationHint : usual(j.requestClass));
                w.latencyRatios.add(toSeconds(took) / u);
                stretch.add(toSeconds(took) / u);
                j.requestClass.relativeDurations.add(toSeconds(took) / toSeconds(j.requestClass.latencyObjective));
                j.requestClass.foreignLoads.add(w.foreignLoad);
            }
            w.errors.add(0);
            failing.add(0);
            w.ejectionCount = w.onProbation ? 0 : w.ejectionCount;
            w.onProbation = false;
            if (j.suspectWorker != null) { fail(j.suspectWorker, false); } // so the fault was that worker's
            j.suspectWorker = null;
        } else if (end == AttemptOutcome.FAILED && !j.function.everLoaded) {
            j.suspectWorker = w; // of what never stood anywhere the fault may be the call's own
        } else if (end == AttemptOutcome.FAILED || end == AttemptOutcome.CONNECTION_LOST || end == AttemptOutcome.CONNECT_FAILED
            // A hung worker answers nothing; where answers get lost, others of the same worker come.
            || end == AttemptOutcome.TIMED_OUT && !isShorter(took, j.requestClass.latencyObjective) && isShorter(w.lastResponse, now.minus(took))) {
            fail(w, end == AttemptOutcome.CONNECT_FAILED);
        }
    }

    private void fail(Worker w, boolean surely) {
        w.errors.add(1);
        failing.add(1);
        double share = (failing.countFrom(1) + 1) / (failing.total() + 10); // one in ten where nothing is known
        if (surely || w.onProbation || w.errors.countFrom(1) >= Math.max(2, 2 * share * w.errors.total())) { strike(w); }
    }

    /** Shuns a worker for a while, longer each time, as long as not too many are shunned already. */
    private void strike(Worker w) {
        int n = 1;
        for (Worker o : workers) { n += o.state == WorkerState.READY && shunned(o) ? 1 : 0; }
        if (shunned(w) || n > ready * SHUN_MOST) { return; }
        w.ejectedUntil = now.plus(SECOND.multipliedBy(1L << Math.min(3, w.ejectionCount++) /* 1, 2, 4, then 8 s */));
        w.onProbation = true;
        w.latencyRatios.clear();
        w.errors.clear();
    }

    private boolean shunned(Worker w) {
        return w.ejectedUntil != null && (isShorter(now, w.ejectedUntil) || w.onProbation && w.inFlight > 0);
    }

    /** What this job should take: its hint, stretched as others were, else its workload's usual time. */
    private Duration expected(Request j) {
        double q = stretch.quantile(0.5);
        boolean hinted = j.durationHint != null && !j.durationHint.isZero() && !Double.isNaN(q);
        return hinted ? scale(j.durationHint, q) : usual(j.requestClass);
    }

    private static Duration usual(RequestClass of) {
        return scale(of.latencyObjective, of.relativeDurations.total() == 0 ? 0.25 : of.relativeDurations.quantile(0.5));
    }

    // ------------------------------------------------------------------ guards: each rule in one place

    /** Rules 2, 3 and 4: whether this job may be sent to this worker now. */
    private boolean maySend(Request j, Worker w) {
        if (j.closed || w.state != WorkerState.READY || j.attempts.size() >= mostExecutions
            || j.inFlight > 0 && (!second || j.requestClass.idempotency == Idempotency.NON_IDEMPOTENT)
            || !isShorter(now.plus(margin), j.deadline)) {
            return false;
        }
        if (j.possibleExecutions + j.inFlight > 0) {
            if (j.requestClass.idempotency == Idempotency.NON_IDEMPOTENT) { return false; }
            if (j.requestClass.idempotency == Idempotency.IDEMPOTENT_WITH_KEY
                && (!isShorter(now.minus(j.firstSentAt), j.requestClass.deduplicationWindow.minus(margin))
                || j.requestClass.deduplicationScope == DeduplicationScope.ZONE && w.zone != j.firstWorker.zone
                || j.requestClass.deduplicationScope == DeduplicationScope.CELL && (w.cell != j.firstWorker.cell || w.zone != j.firstWorker.zone))) {
                return false;
            }
        }
        return warmEnough(w);
    }

    private boolean cold(Worker w) { return w.startedAt != null && isShorter(now.minus(w.startedAt), coldSpan); }

    /** The share of its capacity that a worker has at the least, as it was a span of rule 4 ago. */
    private double warmth(Worker w) {
        if (w.startedAt == null) { return 1; }
        double since = Math.max(0, toSeconds(now.minus(w.startedAt).minus(fallSpan)));
        return Math.min(1, coldShare + (1 - coldShare) * since / toSeconds(coldSpan));
    }

    /** Rule 4: this router's part of what a cold worker can take; a part below one job goes by turns. */
    private boolean warmEnough(Worker w) {
        if (!cold(w)) { return true; }
        int sent = w.sendsWhileCold.countWithin(now, fallSpan);
        double rate = Arrays.stream(workloads).mapToDouble(x -> 1 / toSeconds(usual(x))).min().orElse(0);
        // A warm worker bears one job after the other, and what it gets; two thirds, as the two can add up.
        double part = coldBudget * warmth(w) * toSeconds(fallSpan) * Math.max(rate, ownRate * routers) * 2 / 3;
        if (part >= 1) { return sent < Math.floor(part); }
        // One router a turn starved successors at size: so many that half of it is used at a warm one's rate.
        long turns = (long) Math.min(routers, Math.ceil(3 / (coldBudget * routers * warmth(w))));
        return sent == 0 && (now.minus(w.startedAt).dividedBy(fallSpan) + self) % turns == 0;
    }

    private void send(Request j, Worker w) {
        Attempt x = new Attempt(belief(j.function, w) == State.LOADED, loadsOnMiss);
        j.attempts.add(x);
        j.inFlight++;
        if (j.possibleExecutions == 0 && j.inFlight == 1) {
            j.firstWorker = w;
            j.firstSentAt = now;
        }
        w.inFlight++;
        w.waitingForLoad += x.waitsForLoad ? 1 : 0; // waits for the load, takes no core
        j.function.replicaAt(w).lastUsed = now;
        if (cold(w)) { w.sendsWhileCold.add(now); }
        out.startAttempt(j.id, w.id, j.deadline.minus(now).minus(margin));
    }

    /** Rules 3 and 5, and the shared store's pace: whether an order goes out, and the order itself. */
    private boolean hold(Function f, Worker w) {
        Replica c = f.replicaAt(w);
        boolean nobodys = !f.everLoaded && f.failedLoads > 1 && isShorter(now, f.lastLoadFailure.plus(SECOND));
        if (!mayOrder || w.state != WorkerState.READY || c.loadPending || shunned(w) || refusedLately(c) || nobodys
            || ordersOut >= Math.max(1, ordersMost)) {
            return false;
        }
        if (!rationSpan.isZero() && orders.countWithin(now, rationSpan.plus(margin)) + 1
            > rationFree + rationShare * arrivals.countWithin(now, rationSpan.minus(margin))) {
            return false;
        }
        if (!rationSpan.isZero()) { orders.add(now); }
        c.state = State.LOADING;
        c.loadCommandedAt = now;
        c.loadPending = true;
        ordersOut++;
        w.pendingCommands++;
        f.pendingCommands++;
        out.load(w.id, f.id, 1);
        return true;
    }

    /** Rule 1 and 2: the one final answer, at once; a pushback only where a repeat is harmless. */
    private void giveUp(Request j) {
        if (j.closed) { return; }
        boolean harmless = switch (j.requestClass.idempotency) {
            case IDEMPOTENT -> true;
            case IDEMPOTENT_WITH_KEY -> j.possibleExecutions + j.inFlight == 0 || j.requestClass.deduplicationScope == DeduplicationScope.ALL;
            case NON_IDEMPOTENT -> j.possibleExecutions + j.inFlight == 0;
        };
        Duration back = comeBack == null ? null : scale(comeBack, 0.5 + chance.nextDouble() / 2);
        if (harmless) { out.reject(j.id, back); } else { out.fail(j.id); }
        close(j);
        settle(j);
    }

    private void close(Request j) {
        j.function.openRequests -= j.closed ? 0 : 1;
        j.queued = false;
        j.closed = true;
    }

    /** A closed job is forgotten with its last execution's end. */
    private void settle(Request j) {
        if (j.closed && j.inFlight == 0 && jobs.get(j.id) == j) {
            jobs.set(j.id, null);
            out.releaseRequest(j.id);
        }
    }
}

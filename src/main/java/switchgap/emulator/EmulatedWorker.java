package switchgap.emulator;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;

/**
 * One worker's process without its sockets: cores shared by the jobs that run, copies with lanes, loads, memory,
 * idle unload, a cold start, and falling over when pushed while cold. All on the ticker's thread.
 */
public final class EmulatedWorker {
    /** How a request to the machine ended. DROPPED: a repeat known by its fingerprint, answered without running. */
    public enum Outcome {
        OK, DROPPED, MISS, FULL, FAILED
    }

    /**
     * What a machine is. Memory in MB; slots: jobs in work at a time; queue: waiting beyond; spans in microseconds.
     * The rules' figures: capacity share when it starts, span until warm, multiple and span of falling over.
     */
    public record Hardware(int cores, double speed, int slots, int queue, double memory, int loadsAtOnce,
        long keep,
        boolean loadsOnMiss, boolean eager, double coldShare, long coldSpan, double fallMultiple,
        long fallSpan, double fetchShare, double loadFails) {}

    /** A job in the machine. */
    public final class Execution {
        private final FunctionModel model;
        private final LoadedFunction held;
        private final Runnable began;
        private final BiConsumer<Outcome, Integer> then;
        private final int crowd;
        private double left;
        private boolean waits;

        Execution(FunctionModel model, LoadedFunction held, Runnable began,
            BiConsumer<Outcome, Integer> then) {
            this.model = model;
            this.held = held;
            this.began = began;
            this.then = then;
            this.crowd = held.inHand;
        }
    }

    /** The copies of one function. */
    private static final class LoadedFunction {
        final FunctionModel model;
        int standing, loading, busy, inHand;
        long used;
        final ArrayDeque<Execution> waiting = new ArrayDeque<>();
        final List<LoadWaiter> orders = new ArrayList<>();

        LoadedFunction(FunctionModel model) { this.model = model; }

        boolean idle() { return busy == 0 && waiting.isEmpty(); }
    }

    private record LoadWaiter(int copies, BiConsumer<Outcome, Integer> then) {}

    private record ColdArrival(long t, double work) {}

    final Hardware make;
    private final Scheduler ticker;
    private final FunctionFetcher store;
    private final String name;
    private final SplittableRandom chance;
    private final Runnable fell;
    private final Map<String, LoadedFunction> all = new HashMap<>();
    private final List<Execution> running = new ArrayList<>();
    private final ArrayDeque<Runnable> loadQueue = new ArrayDeque<>();
    private final ArrayDeque<ColdArrival> came = new ArrayDeque<>();
    private final long started;
    private final boolean cold;
    private double cameWork;
    private double slow = 1;
    private double memory;
    private int inHand;
    private int doingIo;
    private int loads;
    private long advanced;
    private long number;
    private boolean dead;

    /** A machine that starts now; cold unless it is held to have run for long. */
    public EmulatedWorker(Hardware make, Scheduler ticker, FunctionFetcher store, String name, long seed,
        boolean cold, Runnable fell) {
        this.make = make;
        this.ticker = ticker;
        this.store = store;
        this.name = name;
        this.chance = new SplittableRandom(seed);
        this.cold = cold;
        this.fell = fell;
        this.started = ticker.now();
        this.advanced = started;
        tidy();
    }

    public void slow(double times) {
        advance();
        slow = times;
        next();
    }

    public void die() { dead = true; }

    public boolean dead() { return dead; }

    public boolean cold() { return cold; }

    public String name() { return name; }

    public long started() { return started; }

    /** Share of full capacity at a time. */
    public double warmth(long now) {
        return !cold ? 1
            : Math.min(1, make.coldShare + (1 - make.coldShare) * (now - started) / (double) make.coldSpan);
    }

    public int inHand() { return inHand; }

    public int waiting() { return inHand - running.size() - doingIo; }

    public double busy() { return Math.min(1, running.size() / (double) make.cores); }

    public int standing(String function) {
        LoadedFunction h = all.get(function);
        return h == null ? 0 : h.standing;
    }

    Map<String, Integer> copies() {
        Map<String, Integer> n = new java.util.TreeMap<>();
        all.forEach((f, h) -> { if (h.standing > 0) { n.put(f, h.standing); } });
        return n;
    }

    /** A copy that stands from the beginning, while there is room. */
    public void seed(FunctionModel m) {
        if (memory + m.memory() <= make.memory * 0.6) {
            LoadedFunction h = all.computeIfAbsent(m.name(), x -> new LoadedFunction(m));
            h.standing++;
            h.used = ticker.now();
            memory += m.memory();
        }
    }

    /** Copies made void: idle ones go, as after a new release of the function. */
    public void flush(String function) {
        LoadedFunction h = all.get(function);
        if (h != null) { unload(h); }
    }

    /** Runs a job; the outcome comes with the jobs of the function met. Null when answered at once, else for leave(). */
    public Execution infer(FunctionModel m, Runnable began, BiConsumer<Outcome, Integer> then) {
        weigh(m.work());
        if (dead) { return null; }
        LoadedFunction h = all.computeIfAbsent(m.name(), x -> new LoadedFunction(m));
        if (inHand >= make.slots + make.queue) {
            then.accept(Outcome.FULL, h.inHand);
            return null;
        }
        if (h.standing + h.loading == 0 && !(make.loadsOnMiss && load(h))) {
            then.accept(make.loadsOnMiss ? Outcome.FULL : Outcome.MISS, h.inHand);
            return null;
        }
        Execution w = new Execution(m, h, began, then);
        w.left = m.work() * Math.exp(m.spread() * gauss() - m.spread() * m.spread() / 2);
        h.inHand++;
        inHand++;
        h.used = ticker.now();
        h.waiting.add(w);
        w.waits = true;
        if (h.busy >= h.standing * m.lanes() && h.loading == 0 && make.eager) { load(h); }
        startWaiting(h);
        return w;
    }

    /** The asker left: what waits is dropped, what runs goes on. */
    public void leave(Execution w) {
        if (w.waits && w.held.waiting.remove(w)) {
            w.waits = false;
            w.held.inHand--;
            inHand--;
        }
    }

    /** Holds at least so many copies; tells how many stand. */
    public void hold(FunctionModel m, int copies, BiConsumer<Outcome, Integer> then) {
        if (dead) { return; }
        LoadedFunction h = all.computeIfAbsent(m.name(), x -> new LoadedFunction(m));
        h.used = ticker.now();
        for (int need = copies - h.standing - h.loading; need > 0; need--) {
            if (!load(h)) {
                then.accept(Outcome.FULL, h.standing);
                return;
            }
        }
        if (h.standing >= copies) {
            then.accept(Outcome.OK, h.standing);
        } else {
            h.orders.add(new LoadWaiter(copies, then));
        }
    }

    public void drop(String function) { flush(function); }

    private double gauss() {
        return Math.sqrt(-2 * Math.log(1 - chance.nextDouble()))
            * Math.cos(2 * Math.PI * chance.nextDouble());
    }

    // ------------------------------------------------------------------ running

    private void startWaiting(LoadedFunction h) {
        while (!h.waiting.isEmpty() && h.busy < h.standing * h.model.lanes()
            && running.size() + doingIo < make.slots) {
            advance();
            Execution w = h.waiting.poll();
            w.waits = false;
            h.busy++;
            w.began.run();
            if (w.model.io() > 0) {
                doingIo++;
                ticker.after((long) w.model.io(), () -> {
                    advance();
                    doingIo--;
                    running.add(w);
                    next();
                });
            } else {
                running.add(w);
            }
        }
        next();
    }

    private double pace(long now) {
        return running.isEmpty() ? 0
            : make.speed * warmth(now) * Math.min(1, make.cores / (double) running.size()) / slow;
    }

    private void advance() {
        long now = ticker.now();
        double did = (now - advanced) * pace(now);
        for (Execution w : running) { w.left -= did; }
        advanced = now;
    }

    /** Sets the next look at what runs; a later change makes this one void. */
    private void next() {
        long mine = ++number;
        if (running.isEmpty() || dead) { return; }
        double least = Double.MAX_VALUE;
        for (Execution w : running) { least = Math.min(least, w.left); }
        long in = (long) Math.ceil(Math.max(0, least) / pace(ticker.now()));
        ticker.after(Math.min(in, 100_000), () -> {
            if (mine == number && !dead) {
                advance();
                finish();
            }
        });
    }

    private void finish() {
        List<Execution> done = new ArrayList<>();
        for (Iterator<Execution> i = running.iterator(); i.hasNext();) {
            Execution w = i.next();
            if (w.left <= 1) {
                i.remove();
                done.add(w);
            }
        }
        for (Execution w : done) {
            LoadedFunction h = w.held;
            h.busy--;
            h.inHand--;
            inHand--;
            h.used = ticker.now();
            w.then.accept(Outcome.OK, w.crowd);
            startWaiting(h);
        }
        if (!done.isEmpty()) {
            for (LoadedFunction h : List.copyOf(all.values())) {
                if (!h.waiting.isEmpty()) { startWaiting(h); }
            }
        }
        next();
    }

    // ------------------------------------------------------------------ loads and memory

    private boolean load(LoadedFunction h) {
        if (loads >= make.loadsAtOnce && loadQueue.size() >= 2 * make.loadsAtOnce
            || !room(h.model.memory())) {
            return false;
        }
        memory += h.model.memory();
        h.loading++;
        if (loads < make.loadsAtOnce) {
            begin(h);
        } else {
            loadQueue.add(() -> begin(h));
        }
        return true;
    }

    private boolean room(double mb) {
        while (memory + mb > make.memory) {
            LoadedFunction oldest = null;
            for (LoadedFunction h : all.values()) {
                if (h.standing > 0 && h.idle() && (oldest == null || h.used < oldest.used)) { oldest = h; }
            }
            if (oldest == null) { return false; }
            unload(oldest);
        }
        return true;
    }

    private void unload(LoadedFunction h) {
        int idle = h.waiting.isEmpty() ? h.standing - (h.busy + h.model.lanes() - 1) / h.model.lanes() : 0;
        h.standing -= idle;
        memory -= idle * h.model.memory();
    }

    private void begin(LoadedFunction h) {
        loads++;
        long fetch = (long) (h.model.load() * make.fetchShare);
        store.fetch(name, h.model.name(), fetch, got -> {
            if (dead) { return; }
            boolean ok = got && chance.nextDouble() >= make.loadFails;
            ticker.after(got ? (long) ((h.model.load() - fetch) * slow) : 0, () -> loaded(h, ok));
        });
    }

    private void loaded(LoadedFunction h, boolean ok) {
        if (dead) { return; }
        loads--;
        h.loading--;
        h.used = ticker.now();
        if (ok) {
            h.standing++;
        } else {
            memory -= h.model.memory();
        }
        for (LoadWaiter w : List.copyOf(h.orders)) {
            if (h.standing >= w.copies || h.loading == 0) {
                h.orders.remove(w);
                w.then.accept(h.standing >= w.copies ? Outcome.OK : Outcome.FAILED, h.standing);
            }
        }
        if (h.standing == 0 && h.loading == 0) { // those who waited for the load are told that it failed
            for (Execution w : List.copyOf(h.waiting)) {
                leave(w);
                w.then.accept(Outcome.MISS, w.crowd);
            }
        }
        if (!loadQueue.isEmpty()) { loadQueue.poll().run(); }
        startWaiting(h);
    }

    private void tidy() {
        if (dead) { return; }
        long now = ticker.now();
        for (Iterator<LoadedFunction> i = all.values().iterator(); i.hasNext();) {
            LoadedFunction h = i.next();
            if (now - h.used > make.keep && h.idle()) { unload(h); }
            if (h.standing + h.loading + h.inHand == 0 && h.orders.isEmpty()) { i.remove(); }
        }
        ticker.after(250_000, this::tidy);
    }

    // ------------------------------------------------------------------ the cold start

    /** Counts work that comes while cold; more than the multiple of what it can do in a span, and it falls over. */
    private void weigh(double work) {
        long now = ticker.now();
        if (!cold || now - started > make.coldSpan) { return; }
        came.add(new ColdArrival(now, work));
        cameWork += work;
        while (now - came.peek().t > make.fallSpan) { cameWork -= came.poll().work; }
        double can = make.cores * make.speed * warmth(now) * make.fallSpan * make.fallMultiple;
        if (cameWork > can && !dead) {
            dead = true;
            fell.run();
        }
    }
}

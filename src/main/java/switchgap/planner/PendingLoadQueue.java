package switchgap.planner;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The edge's side: loads that its module asked for wait here for the planner's word, each for a bounded time, and go out
 * once. States: ALONE (no planner: what is asked goes out at once), LED, STALLED (linked, but no plan came in time: as
 * ALONE until one comes). The edge never depends on the planner: what goes out when in doubt is what goes out without one.
 */
public final class PendingLoadQueue {
    public enum State { ALONE, LED, STALLED }

    /** Carries out what is decided here. */
    public interface Listener {
        /** The order goes out now; at most once for each id. */
        void release(long id);

        /** Something of a plan was refused: who sent it is wrong. */
        void planRejected(String why);
    }

    private record Waiting(PendingLoad wish, Duration asked, Duration due) {}

    private static final int STRIKES = 3; // wishes that waited in vain, one after the other
    private final Duration patience;
    private final int most;
    private final Listener carrier;
    private final Map<Long, Waiting> waiting = new LinkedHashMap<>();
    private State state = State.ALONE;
    private long epoch;
    private long next;
    private long lastSeq;
    private int inVain;
    private long stale, refused, led, late;

    /** Each wish waits at most for {@code patience}, and at most so many wait. */
    public PendingLoadQueue(Duration patience, int most, Listener carrier) {
        this.patience = patience;
        this.most = most;
        this.carrier = carrier;
    }

    public State state() { return state; }

    /** A planner is linked; plans must name this epoch, which must be past all before. */
    public void connected(long epoch) {
        if (epoch <= this.epoch) {
            throw new IllegalArgumentException("epoch " + epoch + " after " + this.epoch);
        }
        this.epoch = epoch;
        lastSeq = 0;
        inVain = 0;
        state = State.LED;
    }

    /** The planner is gone: what waits goes out in the order in which it was asked for. */
    public void disconnected() {
        state = State.ALONE;
        List.copyOf(waiting.keySet()).forEach(this::out);
    }

    /** The number that the next wish must bear. */
    public long nextId() { return next; }

    /** The module asks for a load. */
    public void add(Duration now, PendingLoad w) {
        if (w.id() != next) { throw new IllegalArgumentException("wish " + w.id() + " in place of " + next); }
        next++;
        waiting.put(w.id(), new Waiting(w, now, now.plus(patience)));
        if (state != State.LED || waiting.size() > most) { out(w.id()); }
    }

    /** The module wants it no more, or its time is over: it must not go out. True when it had not. */
    public boolean withdraw(long id) {
        return waiting.remove(id) != null;
    }

    /** A plan came. What it names and has gone out already is stale and dropped; what was never asked for is refused. */
    public void planReceived(LoadPlan p) {
        if (p.epoch() != epoch || state == State.ALONE) {
            refuse("a plan for epoch " + p.epoch() + ", this is " + epoch);
            return;
        }
        if (p.sequence() <= lastSeq) { // one that was overtaken, or came twice
            stale += p.ids().length;
            return;
        }
        lastSeq = p.sequence();
        inVain = 0;
        state = State.LED;
        for (long id : p.ids()) {
            if (id < 0 || id >= next) {
                refuse("a wish " + id + " that was never asked for");
            } else if (waiting.containsKey(id)) {
                led++;
                out(id);
            } else {
                stale++;
            }
        }
    }

    /** Lets out what has waited too long. Returns when the next is due, or null. */
    public Duration tick(Duration now) {
        for (Waiting w : List.copyOf(waiting.values())) {
            if (w.due.compareTo(now) > 0) { return w.due; }
            late++;
            out(w.wish.id());
            if (++inVain >= STRIKES && state == State.LED) {
                state = State.STALLED;
                List.copyOf(waiting.keySet()).forEach(this::out);
                return null;
            }
        }
        return null;
    }

    private void out(long id) {
        if (waiting.remove(id) != null) { carrier.release(id); }
    }

    private void refuse(String why) {
        refused++;
        carrier.planRejected(why);
    }

    public long epoch() { return epoch; }

    /** What waits, with its age now and the importance that waits for its function. */
    public List<PendingLoad> waiting(Duration now, java.util.function.ToDoubleFunction<String> importance) {
        List<PendingLoad> all = new ArrayList<>(waiting.size());
        waiting.values().forEach(
            w -> all.add(new PendingLoad(w.wish.id(), w.wish.worker(), w.wish.function(), w.wish.memoryMb(),
                w.wish.loadMicros(), importance.applyAsDouble(w.wish.function()),
                now.minus(w.asked).toNanos() / 1000)));
        return all;
    }

    /** Wishes led by a plan, let out as their time was over, stale and refused parts of plans. */
    public long[] counts() {
        return new long[] {led, late, stale, refused};
    }
}

package switchgap.planner;

import java.util.ArrayList;
import java.util.List;

/**
 * The planner's side: in which order loads go out. First what the most waiting importance hangs on for a second of loading;
 * age counts for importance so that nothing waits for ever. Where copies lie, how many, and how many loads are out at a time
 * is what the edge's module asked for: it alone learns the store's pace.
 */
public final class LoadScheduler {
    private static final double AGE = 1;      // importance a second of waiting adds
    private static final long USUAL = 500_000; // microseconds, where a function tells no load time
    private long lastSeq = -1;
    private long epoch = -1;

    /** Answers what the edge told; null where it is older than what was answered before. */
    public LoadPlan plan(LoadBacklog t) {
        if (t.epoch() != epoch) {
            epoch = t.epoch();
            lastSeq = -1;
        }
        if (t.sequence() <= lastSeq) { return null; }
        lastSeq = t.sequence();
        List<PendingLoad> by = new ArrayList<>(t.waiting());
        by.sort((a, b) -> {
            int c = Double.compare(worth(b), worth(a));
            return c != 0 ? c : Long.compare(a.id(), b.id());
        });
        return new LoadPlan(t.epoch(), t.sequence(), by.stream().mapToLong(PendingLoad::id).toArray());
    }

    private static double worth(PendingLoad w) {
        return (w.priorityWeight() + AGE * w.ageMicros() / 1e6)
            / Math.max(1, w.loadMicros() > 0 ? w.loadMicros() : USUAL) * 1e6;
    }
}

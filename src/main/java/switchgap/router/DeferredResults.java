package switchgap.router;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Deferred calls of one router: held ones, and answers kept for a stated span. Bounded by count and by the bytes
 * of the answers kept; when full, the answers kept longest go first, and new calls are not accepted while all room
 * is taken by held ones. One thread.
 */
public final class DeferredResults {
    /** What is known of an id. */
    public enum Status { HELD, ENDED, GONE, NEVER }

    /** A deferred call; {@code answer} is null while it is held, and when its limit passed unanswered. */
    public static final class Entry implements ResponseListener {
        private final DeferredResults home;
        private final long number;
        private PendingRequest request;
        private Response response;
        private boolean ended;
        private Duration until;
        private final List<Consumer<Entry>> waiters = new ArrayList<>(1);

        private Entry(DeferredResults home, long number) {
            this.home = home;
            this.number = number;
        }

        public PendingRequest request() { return request; }

        public boolean ended() { return ended; }

        public Response response() { return response; }

        @Override public void responded(PendingRequest c, Response a) { home.end(this, a); }

        @Override public void deadlineMissed(PendingRequest c, Response late) { home.end(this, null); }
    }

    private static final int MOST_WAITERS = 8;
    private final Duration kept;
    private final int most;
    private final long mostBytes;
    private final String prefix;
    private final Map<Long, Entry> entries = new HashMap<>();
    private final ArrayDeque<Entry> ended = new ArrayDeque<>();
    private Duration now = Duration.ZERO;
    private long next;
    private long bytes;

    /** Ids begin with the prefix, which differs from one start of a router to the next. */
    public DeferredResults(String prefix, Duration kept, int most, long mostBytes) {
        this.prefix = prefix;
        this.kept = kept;
        this.most = most;
        this.mostBytes = mostBytes;
    }

    /** Room for one more, or null when all of it is taken by calls that are held. */
    public Entry reserve() {
        while (entries.size() >= most && !ended.isEmpty()) { forget(ended.poll()); }
        if (entries.size() >= most) { return null; }
        Entry e = new Entry(this, next++);
        entries.put(e.number, e);
        return e;
    }

    public String id(Entry e) { return prefix + e.number; }

    /** The call behind an entry was taken. */
    public void accepted(Entry e, PendingRequest c) {
        e.request = c;
    }

    /** The call behind an entry was not taken. */
    public void notAccepted(Entry e) {
        entries.remove(e.number);
    }

    /** Drops what has been kept long enough. */
    public void tick(Duration at) {
        now = at;
        while (!ended.isEmpty() && ended.peek().until.compareTo(at) <= 0) { forget(ended.poll()); }
    }

    public Status status(String id) {
        long n = number(id);
        if (n < 0 || n >= next) { return Status.NEVER; }
        Entry e = entries.get(n);
        return e == null ? Status.GONE : e.ended ? Status.ENDED : Status.HELD;
    }

    /** The entry of an id that is held or ended, else null. */
    public Entry find(String id) {
        return entries.get(number(id));
    }

    /** Tells the waiter at the end; false when too many wait already. */
    public boolean await(Entry e, Consumer<Entry> waiter) {
        return e.waiters.size() < MOST_WAITERS && e.waiters.add(waiter);
    }

    public void stopAwaiting(Entry e, Consumer<Entry> waiter) { e.waiters.remove(waiter); }

    /** The client wants it no more: nothing is kept of it. */
    public void forget(Entry e) {
        if (entries.remove(e.number) != null && e.response != null) { bytes -= e.response.body().length; }
        ended.remove(e);
        e.waiters.clear();
    }

    public int size() { return entries.size(); }

    private long number(String id) {
        if (!id.startsWith(prefix)) { return -1; }
        try {
            return Long.parseLong(id, prefix.length(), id.length(), 10);
        } catch (NumberFormatException x) {
            return -1;
        }
    }

    private void end(Entry e, Response a) {
        if (!entries.containsKey(e.number)) { return; }
        e.response = a;
        e.ended = true;
        e.until = now.plus(kept);
        ended.add(e);
        bytes += a == null ? 0 : a.body().length;
        List<Consumer<Entry>> told = List.copyOf(e.waiters);
        e.waiters.clear();
        told.forEach(w -> w.accept(e));
        while (bytes > mostBytes && ended.size() > 1) { forget(ended.poll()); }
    }
}

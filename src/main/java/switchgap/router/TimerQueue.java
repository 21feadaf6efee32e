package switchgap.router;

import java.time.Duration;
import java.util.PriorityQueue;

/** What is due when, in order; equal times in the order they were set. */
final class TimerQueue {
    static final class Timer {
        private final Duration due;
        private final long number;
        private Runnable then;

        private Timer(Duration due, long number, Runnable then) {
            this.due = due;
            this.number = number;
            this.then = then;
        }
    }

    private final PriorityQueue<Timer> queue = new PriorityQueue<>((a, b) -> {
        int c = a.due.compareTo(b.due);
        return c != 0 ? c : Long.compare(a.number, b.number);
    });
    private long count;
    private int stopped;

    Timer at(Duration due, Runnable then) {
        Timer t = new Timer(due, count++, then);
        queue.add(t);
        return t;
    }

    void stop(Timer t) {
        if (t != null && t.then != null) {
            t.then = null;
            if (++stopped > 1024 && stopped > queue.size() / 2) { // stopped ones must not pile up until they are due
                queue.removeIf(x -> x.then == null);
                stopped = 0;
            }
        }
    }

    /** The next due time, or null. */
    Duration next() {
        while (!queue.isEmpty() && queue.peek().then == null) {
            queue.poll();
            stopped--;
        }
        return queue.isEmpty() ? null : queue.peek().due;
    }

    void fire(Duration now) {
        for (Duration d = next(); d != null && d.compareTo(now) <= 0; d = next()) {
            Timer t = queue.poll();
            Runnable then = t.then;
            t.then = null;
            then.run();
        }
    }

    int size() {
        return queue.size() - stopped;
    }
}

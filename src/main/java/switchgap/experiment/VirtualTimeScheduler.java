package switchgap.experiment;

import java.util.PriorityQueue;
import switchgap.emulator.Scheduler;

/** Simulated time: events in order of time, equal ones in the order they were set. */
final class VirtualTimeScheduler implements Scheduler {
    private record Event(long at, long number, Runnable then) {}

    private final PriorityQueue<Event> queue = new PriorityQueue<>(
        (a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.number, b.number));
    private long now = 1_000_000_000_000L;
    private long count;

    @Override public long now() { return now; }

    @Override public void after(long micros, Runnable then) {
        queue.add(new Event(now + Math.max(0, micros), count++, then));
    }

    @Override public void post(Runnable then) { after(0, then); }

    /** Runs everything up to a time. */
    void run(long until) {
        while (!queue.isEmpty() && queue.peek().at <= until) {
            Event e = queue.poll();
            now = e.at;
            e.then.run();
        }
        now = Math.max(now, until);
    }

    long events() { return count; }
}

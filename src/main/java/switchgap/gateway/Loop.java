package switchgap.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import java.util.function.Function;
import org.HdrHistogram.Histogram;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import switchgap.router.Core;

/** The router's one thread: gathers events, runs rounds, sleeps until the next is due. */
final class Loop implements Runnable {
    private static final Logger LOG = LoggerFactory.getLogger(Loop.class);
    private static final int MOST_EVENTS = 512;
    private final long born = System.nanoTime();
    private final ConcurrentLinkedQueue<Consumer<Core>> queue = new ConcurrentLinkedQueue<>();
    private final ConcurrentLinkedQueue<Consumer<Core>> urgent = new ConcurrentLinkedQueue<>();
    private final Core core;
    private final Thread thread;
    /** Microseconds by which rounds came after their due time; read by others through {@link #lateness()}. */
    private final Histogram late = new Histogram(60_000_000, 2);
    private volatile boolean stopped;
    private volatile boolean asleep;

    Loop(Function<Loop, Core> make, String name) {
        core = make.apply(this);
        thread = new Thread(this, name);
    }

    void start() {
        thread.start();
    }

    Duration now() {
        return Duration.ofNanos(System.nanoTime() - born);
    }

    /** Goes before all that waits: news of workers that drain must not stand in line. */
    void postFirst(Consumer<Core> event) {
        urgent.add(event);
        if (asleep) { LockSupport.unpark(thread); }
    }

    void post(Consumer<Core> event) {
        queue.add(event);
        if (asleep) { LockSupport.unpark(thread); }
    }

    synchronized Histogram lateness() {
        return late.copy();
    }

    void stop() {
        stopped = true;
        LockSupport.unpark(thread);
        try {
            thread.join(5000);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override public void run() {
        List<Consumer<Core>> batch = new ArrayList<>();
        core.round(now(), batch); // the module asks for its first wake-up
        while (!stopped) {
            for (Consumer<Core> e; (e = urgent.poll()) != null;) { batch.add(e); }
            for (Consumer<Core> e; batch.size() < MOST_EVENTS && (e = queue.poll()) != null;) { batch.add(e); }
            Duration due = core.nextDue();
            Duration now = now();
            boolean isDue = due != null && due.compareTo(now) <= 0;
            if (batch.isEmpty() && !isDue) {
                sleep(due, now);
                continue;
            }
            if (isDue) { told(now.minus(due)); }
            try {
                core.round(now, batch);
            } catch (RuntimeException e) {
                LOG.error("a round failed; the router stops, its clients may retry", e);
                Runtime.getRuntime().halt(70);
            }
            batch.clear();
        }
    }

    private synchronized void told(Duration by) {
        late.recordValue(Math.min(by.toNanos() / 1000, 60_000_000));
    }

    private void sleep(Duration due, Duration now) {
        asleep = true;
        if (queue.isEmpty() && urgent.isEmpty() && !stopped) {
            if (due == null) { LockSupport.park(this); } else { LockSupport.parkNanos(this, due.minus(now).toNanos()); }
        }
        asleep = false;
    }
}

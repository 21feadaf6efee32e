package switchgap.eventloop;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongConsumer;
import switchgap.router.RouterCore;

/** The router's one thread: gathers events, runs rounds, sleeps until the next is due. */
public final class EventLoop implements Runnable {
    private static final int MOST_EVENTS = 512;
    private final long born = System.nanoTime();
    private final ConcurrentLinkedQueue<Consumer<RouterCore>> queue = new ConcurrentLinkedQueue<>();
    private final ConcurrentLinkedQueue<Consumer<RouterCore>> urgent = new ConcurrentLinkedQueue<>();
    private final RouterCore core;
    private final Thread thread;
    private final LongConsumer late;
    private final Consumer<Throwable> failed;
    private volatile boolean stopped;
    private volatile boolean asleep;

    /**
     * {@code late} hears the microseconds by which a round came after its due time, {@code failed} of a round that
     * failed: the loop ends there, as what is half done can't be gone on from.
     */
    public EventLoop(Function<EventLoop, RouterCore> make, String name, LongConsumer late,
        Consumer<Throwable> failed) {
        this.late = late;
        this.failed = failed;
        core = make.apply(this);
        thread = new Thread(this, name);
    }

    public void start() {
        thread.start();
    }

    public Duration now() {
        return Duration.ofNanos(System.nanoTime() - born);
    }

    /** Goes before all that waits: news of workers that drain must not stand in line. */
    public void postUrgent(Consumer<RouterCore> event) {
        urgent.add(event);
        if (asleep) { LockSupport.unpark(thread); }
    }

    public void post(Consumer<RouterCore> event) {
        queue.add(event);
        if (asleep) { LockSupport.unpark(thread); }
    }

    public void stop() {
        stopped = true;
        LockSupport.unpark(thread);
        try {
            thread.join(5000);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override public void run() {
        try {
            runTicks();
        } catch (Throwable e) { // errors too: a thread that is gone serves nobody
            failed.accept(e);
        }
    }

    private void runTicks() {
        List<Consumer<RouterCore>> batch = new ArrayList<>();
        core.tick(now(), batch); // the module asks for its first wake-up
        while (!stopped) {
            for (Consumer<RouterCore> e; (e = urgent.poll()) != null;) { batch.add(e); }
            for (Consumer<RouterCore> e; batch.size() < MOST_EVENTS && (e = queue.poll()) != null;) {
                batch.add(e);
            }
            Duration due = core.nextDue();
            Duration now = now();
            boolean isDue = due != null && due.compareTo(now) <= 0;
            if (batch.isEmpty() && !isDue) {
                sleep(due, now);
                continue;
            }
            if (isDue) { late.accept(now.minus(due).toNanos() / 1000); }
            core.tick(now, batch);
            batch.clear();
        }
    }

    private void sleep(Duration due, Duration now) {
        asleep = true;
        if (queue.isEmpty() && urgent.isEmpty() && !stopped) {
            if (due == null) {
                LockSupport.park(this);
            } else {
                LockSupport.parkNanos(this, due.minus(now).toNanos());
            }
        }
        asleep = false;
    }
}

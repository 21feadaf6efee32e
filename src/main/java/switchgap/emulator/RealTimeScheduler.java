package switchgap.emulator;

import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.slf4j.LoggerFactory;

/** Real time on one thread; wall time is read once and goes on monotonically. */
public final class RealTimeScheduler implements Scheduler, AutoCloseable {
    private final long wall = System.currentTimeMillis() * 1000;
    private final long nano = System.nanoTime();
    private final ScheduledThreadPoolExecutor thread = new ScheduledThreadPoolExecutor(1, r -> {
        Thread t = new Thread(r, "standins");
        t.setDaemon(true);
        t.setPriority(Thread.MAX_PRIORITY);
        return t;
    });

    @Override public long now() { return wall + (System.nanoTime() - nano) / 1000; }

    @Override public void after(long micros, Runnable then) {
        thread.schedule(() -> safe(then), Math.max(0, micros), TimeUnit.MICROSECONDS);
    }

    @Override public void post(Runnable then) { thread.execute(() -> safe(then)); }

    private static void safe(Runnable then) {
        try {
            then.run();
        } catch (RuntimeException e) {
            LoggerFactory.getLogger(RealTimeScheduler.class).error("a stand-in failed", e);
        }
    }

    @Override public void close() { thread.shutdownNow(); }
}

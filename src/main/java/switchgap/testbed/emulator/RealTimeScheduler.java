package switchgap.testbed.emulator;

import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import switchgap.net.WallClock;

/**
 * A scheduler in real time, with one thread. It reads the wall clock once, when it is created, and
 * then advances by the monotonic clock, so that steps of the wall clock do not affect it.
 */
public final class RealTimeScheduler implements Scheduler, AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(RealTimeScheduler.class);
  private static final long NANOS_PER_MICRO = 1000;
  private static final long MICROS_PER_MILLI = 1000;
  private final long startWallMicros = WallClock.unixMillis() * MICROS_PER_MILLI;
  private final long startNanos = System.nanoTime();
  private final ScheduledThreadPoolExecutor executor =
      new ScheduledThreadPoolExecutor(1, RealTimeScheduler::newThread);

  // The JVM ignores the priority unless it runs with a -XX:ThreadPriorityPolicy that applies it.
  @SuppressWarnings("ThreadPriorityCheck")
  private static Thread newThread(Runnable task) {
    Thread thread = new Thread(task, "emulator");
    thread.setDaemon(true);
    thread.setPriority(Thread.MAX_PRIORITY);
    return thread;
  }

  @Override
  public long now() {
    return startWallMicros + (System.nanoTime() - startNanos) / NANOS_PER_MICRO;
  }

  @Override
  public void after(long delayMicros, Runnable task) {
    executor.schedule(() -> runLogged(task), Math.max(0, delayMicros), TimeUnit.MICROSECONDS);
  }

  @Override
  public void post(Runnable task) {
    executor.execute(() -> runLogged(task));
  }

  /** Logs the exception of a failed task, which the executor would otherwise discard silently. */
  private static void runLogged(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      LOG.error("emulator task failed; the scheduler continues with the next task", e);
    }
  }

  @Override
  public void close() {
    executor.shutdownNow();
  }
}

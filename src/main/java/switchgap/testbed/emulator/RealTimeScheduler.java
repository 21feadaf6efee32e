package switchgap.testbed.emulator;

import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import switchgap.net.WallClock;

/** Real time on one thread; wall time is read once and then advances monotonically. */
public final class RealTimeScheduler implements Scheduler, AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(RealTimeScheduler.class);
  private static final long NANOS_PER_MICRO = 1000;
  private static final long MICROS_PER_MILLI = 1000;
  private final long startWallMicros = WallClock.unixMillis() * MICROS_PER_MILLI;
  private final long startNanos = System.nanoTime();
  private final ScheduledThreadPoolExecutor executor =
      new ScheduledThreadPoolExecutor(1, RealTimeScheduler::newThread);

  // The JVM ignores a thread's priority unless it is started with a policy for it.
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
  public void after(long micros, Runnable task) {
    executor.schedule(() -> runLogged(task), Math.max(0, micros), TimeUnit.MICROSECONDS);
  }

  @Override
  public void post(Runnable task) {
    executor.execute(() -> runLogged(task));
  }

  /** An executor would swallow the exception of a task without a trace. */
  private static void runLogged(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      LOG.error("a task of the emulator failed", e);
    }
  }

  @Override
  public void close() {
    executor.shutdownNow();
  }
}

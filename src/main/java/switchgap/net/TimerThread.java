package switchgap.net;

import java.util.concurrent.ScheduledThreadPoolExecutor;

/**
 * One daemon thread, shared by the process, for timers that run rarely: slow senders, slow
 * connects, retries.
 */
public final class TimerThread {
  /**
   * Runs the timers. Tasks must be short and must not block; a cancelled task leaves the queue at
   * once.
   */
  public static final ScheduledThreadPoolExecutor EXECUTOR = createExecutor();

  private TimerThread() {}

  private static ScheduledThreadPoolExecutor createExecutor() {
    ScheduledThreadPoolExecutor executor =
        new ScheduledThreadPoolExecutor(
            1,
            task -> {
              Thread thread = new Thread(task, "timer");
              thread.setDaemon(true);
              return thread;
            });
    executor.setRemoveOnCancelPolicy(true);
    return executor;
  }
}

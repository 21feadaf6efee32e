package switchgap.net;

import java.util.concurrent.ScheduledThreadPoolExecutor;

/**
 * A daemon thread, shared by the whole process, for infrequent timers such as connect timeouts,
 * retries and sweeps of overdue connections.
 */
public final class TimerThread {
  /**
   * Runs the timers. Tasks must be short and must not block. A cancelled task is removed from the
   * queue immediately.
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

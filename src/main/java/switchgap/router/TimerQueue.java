package switchgap.router;

import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * What is due when, in order; equal times in the order they were set. Belongs to the event loop.
 */
final class TimerQueue {
  /**
   * Cancelled timers are cleared out past so many, once they are the larger part: they must not
   * pile up until due.
   */
  private static final int MIN_CANCELLED_TO_CLEAR = 1024;

  /** A timer that was set; its task is null once it ran or was cancelled. */
  static final class Timer {
    private final Duration due;
    private final long number;
    private Runnable task;

    private Timer(Duration due, long number, Runnable task) {
      this.due = due;
      this.number = number;
      this.task = task;
    }
  }

  private final PriorityQueue<Timer> queue =
      new PriorityQueue<>(
          Comparator.comparing((Timer timer) -> timer.due)
              .thenComparingLong(timer -> timer.number));
  private long count;
  private int cancelled;

  /** Has a task run at a time or soon after. */
  Timer schedule(Duration due, Runnable task) {
    Timer timer = new Timer(due, count++, task);
    queue.add(timer);
    return timer;
  }

  /** Has a timer not run; null and timers that ran are passed over. */
  void cancel(Timer timer) {
    if (timer == null || timer.task == null) {
      return;
    }
    timer.task = null;
    if (++cancelled > MIN_CANCELLED_TO_CLEAR && cancelled > queue.size() / 2) {
      queue.removeIf(each -> each.task == null);
      cancelled = 0;
    }
  }

  /** The next due time, or null. */
  Duration nextDue() {
    while (!queue.isEmpty() && queue.peek().task == null) {
      queue.poll();
      cancelled--;
    }
    return queue.isEmpty() ? null : queue.peek().due;
  }

  /** Runs all that is due. */
  void runDue(Duration now) {
    for (Duration due = nextDue(); due != null && due.compareTo(now) <= 0; due = nextDue()) {
      Timer timer = queue.poll();
      Runnable task = timer.task;
      timer.task = null;
      task.run();
    }
  }

  /** Timers that are set. */
  int size() {
    return queue.size() - cancelled;
  }
}

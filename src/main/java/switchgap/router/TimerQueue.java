package switchgap.router;

import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Timers by due time; equal times in the order in which they were scheduled. Belongs to the event
 * loop.
 */
final class TimerQueue {
  /**
   * Beyond this number cancelled timers are removed once they are the larger part of the queue:
   * they must not accumulate until due.
   */
  private static final int MIN_CANCELLED_TO_REMOVE = 1024;

  /** A scheduled timer; its task is null once it ran or was cancelled. */
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

  /** Schedules a task for the first run at this time or later. */
  Timer schedule(Duration due, Runnable task) {
    Timer timer = new Timer(due, count++, task);
    queue.add(timer);
    return timer;
  }

  /** Cancels a timer; without effect on null, timers that ran and cancelled ones. */
  void cancel(Timer timer) {
    if (timer == null || timer.task == null) {
      return;
    }
    timer.task = null;
    cancelled++;
    if (cancelled > MIN_CANCELLED_TO_REMOVE && cancelled > queue.size() / 2) {
      queue.removeIf(each -> each.task == null);
      cancelled = 0;
    }
  }

  /** Due time of the next timer, or null. */
  Duration nextDue() {
    while (!queue.isEmpty() && queue.peek().task == null) {
      queue.poll();
      cancelled--;
    }
    return queue.isEmpty() ? null : queue.peek().due;
  }

  /** Runs the timers due at this time, also those that they schedule meanwhile. */
  void runDue(Duration now) {
    for (Duration due = nextDue(); due != null && due.compareTo(now) <= 0; due = nextDue()) {
      Timer timer = queue.poll();
      Runnable task = timer.task;
      timer.task = null;
      task.run();
    }
  }

  /** Number of scheduled timers that neither ran nor were cancelled. */
  int size() {
    return queue.size() - cancelled;
  }
}

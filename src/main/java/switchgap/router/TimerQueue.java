package switchgap.router;

import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Timers ordered by due time; timers with equal due times run in the order in which they were
 * scheduled. Confined to the event loop thread.
 */
final class TimerQueue {
  /**
   * Number of cancelled timers above which they are removed once they make up more than half of the
   * queue. Without this limit, cancelled timers would accumulate until they are due.
   */
  private static final int MAX_CANCELLED_TO_KEEP = 1024;

  /** A scheduled timer; its task is null after it has run or was cancelled. */
  static final class Timer {
    private final Duration dueTime;
    private final long sequenceNumber;
    private Runnable task;

    private Timer(Duration due, long number, Runnable task) {
      this.dueTime = due;
      this.sequenceNumber = number;
      this.task = task;
    }
  }

  private final PriorityQueue<Timer> queue =
      new PriorityQueue<>(
          Comparator.comparing((Timer timer) -> timer.dueTime)
              .thenComparingLong(timer -> timer.sequenceNumber));
  private long nextSequenceNumber;
  private int cancelledCount;

  /** Schedules a task for the first call of {@link #runDue} at or after {@code due}. */
  Timer schedule(Duration due, Runnable task) {
    Timer timer = new Timer(due, nextSequenceNumber++, task);
    queue.add(timer);
    return timer;
  }

  /** Cancels a timer. No effect if it is null, has run or is cancelled already. */
  void cancel(Timer timer) {
    if (timer == null || timer.task == null) {
      return;
    }
    timer.task = null;
    cancelledCount++;
    if (cancelledCount > MAX_CANCELLED_TO_KEEP && cancelledCount > queue.size() / 2) {
      queue.removeIf(queued -> queued.task == null);
      cancelledCount = 0;
    }
  }

  /** The due time of the next timer, or null if there is none. */
  Duration nextDue() {
    while (!queue.isEmpty() && queue.peek().task == null) {
      queue.poll();
      cancelledCount--;
    }
    return queue.isEmpty() ? null : queue.peek().dueTime;
  }

  /** Runs all timers due at {@code now}, including those scheduled by the tasks it runs. */
  void runDue(Duration now) {
    for (Duration due = nextDue(); due != null && due.compareTo(now) <= 0; due = nextDue()) {
      Timer timer = queue.poll();
      Runnable task = timer.task;
      timer.task = null;
      task.run();
    }
  }

  /** The number of timers that have neither run nor been cancelled. */
  int size() {
    return queue.size() - cancelledCount;
  }
}

package switchgap.testbed.experiment;

import java.util.PriorityQueue;
import switchgap.testbed.emulator.Scheduler;

/** Simulated time: events in order of time, equal ones in the order they were set. */
final class VirtualTimeScheduler implements Scheduler {
  private record Event(long dueAt, long number, Runnable action) {}

  private final PriorityQueue<Event> queue =
      new PriorityQueue<>(
          (left, right) ->
              left.dueAt != right.dueAt
                  ? Long.compare(left.dueAt, right.dueAt)
                  : Long.compare(left.number, right.number));
  private long now = 1_000_000_000_000L;
  private long count;

  @Override
  public long now() {
    return now;
  }

  @Override
  public void after(long micros, Runnable action) {
    queue.add(new Event(now + Math.max(0, micros), count++, action));
  }

  @Override
  public void post(Runnable action) {
    after(0, action);
  }

  /** Runs everything up to a time. */
  void run(long until) {
    while (!queue.isEmpty() && queue.peek().dueAt <= until) {
      Event event = queue.poll();
      now = event.dueAt;
      event.action.run();
    }
    now = Math.max(now, until);
  }

  long events() {
    return count;
  }
}

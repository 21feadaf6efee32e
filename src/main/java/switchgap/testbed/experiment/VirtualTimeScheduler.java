package switchgap.testbed.experiment;

import java.util.PriorityQueue;
import switchgap.testbed.emulator.Scheduler;

/**
 * Runs events in simulated time: in order of their time, and events of the same time in the order
 * in which they were scheduled.
 */
final class VirtualTimeScheduler implements Scheduler {
  private record Event(long dueMicros, long sequenceNumber, Runnable action) {}

  private final PriorityQueue<Event> queue =
      new PriorityQueue<>(
          (left, right) ->
              left.dueMicros != right.dueMicros
                  ? Long.compare(left.dueMicros, right.dueMicros)
                  : Long.compare(left.sequenceNumber, right.sequenceNumber));

  /** The current time, which starts at the same value in each run. */
  private long nowMicros = 1_000_000_000_000L;

  private long eventCount;

  @Override
  public long now() {
    return nowMicros;
  }

  @Override
  public void after(long micros, Runnable action) {
    queue.add(new Event(nowMicros + Math.max(0, micros), eventCount++, action));
  }

  @Override
  public void post(Runnable action) {
    after(0, action);
  }

  /** Runs all events due up to and including a time, and advances the clock to it. */
  void runUntil(long untilMicros) {
    while (!queue.isEmpty() && queue.peek().dueMicros <= untilMicros) {
      Event event = queue.poll();
      nowMicros = event.dueMicros;
      event.action.run();
    }
    nowMicros = Math.max(nowMicros, untilMicros);
  }

  /** Returns the number of events scheduled so far. */
  long eventCount() {
    return eventCount;
  }
}

package switchgap.eventloop;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongConsumer;
import switchgap.router.RouterCore;

/**
 * The thread that owns a router's core. It collects posted events, runs ticks and sleeps until the
 * next tick is due. The queues are unbounded: the callers that post events must limit their number.
 */
public final class EventLoop implements Runnable {
  /**
   * Maximum events per tick; further events wait for the next tick, so that timers are not delayed.
   */
  private static final int MAX_EVENTS_PER_TICK = 512;

  private static final long STOP_TIMEOUT_MILLIS = 5000;
  private static final long NANOS_PER_MICRO = 1000;

  /**
   * Delay of a tick above which the process is assumed to have been paused. Messages that arrived
   * during the pause are read before timers run.
   */
  private static final Duration PAUSE_THRESHOLD = Duration.ofMillis(100);

  private final long startedNanos = System.nanoTime();
  private final ConcurrentLinkedQueue<Consumer<RouterCore>> queue = new ConcurrentLinkedQueue<>();
  private final ConcurrentLinkedQueue<Consumer<RouterCore>> urgentQueue =
      new ConcurrentLinkedQueue<>();
  private final RouterCore core;
  private final Thread thread;
  private final LongConsumer latenessListener;
  private final Consumer<Throwable> failureListener;
  private final Runnable pendingReadsBarrier;
  private volatile boolean isStopped;
  private volatile boolean isAsleep;

  /**
   * Creates a loop; {@link #start} starts its thread.
   *
   * @param coreFactory creates the core; it may keep the loop to post events to it
   * @param threadName name of the loop's thread
   * @param latenessListener receives the delay of each timed tick in microseconds
   * @param failureListener receives the exception of a tick that failed; the loop then ends,
   *     because its state may be inconsistent
   * @param pendingReadsBarrier blocks for a bounded time until the data in the sockets' receive
   *     buffers has been read and posted; called after a pause, before deadlines are evaluated
   */
  public EventLoop(
      Function<EventLoop, RouterCore> coreFactory,
      String threadName,
      LongConsumer latenessListener,
      Consumer<Throwable> failureListener,
      Runnable pendingReadsBarrier) {
    this.latenessListener = latenessListener;
    this.failureListener = failureListener;
    this.pendingReadsBarrier = pendingReadsBarrier;
    core = coreFactory.apply(this);
    thread = new Thread(this, threadName);
  }

  /** Starts the thread. */
  public void start() {
    thread.start();
  }

  /** The time since the loop was created. May be called from any thread. */
  public Duration now() {
    return Duration.ofNanos(System.nanoTime() - startedNanos);
  }

  /**
   * Queues an event to run in the next tick, before all events of {@link #post}. For example, the
   * draining of a worker must not wait behind other events. May be called from any thread.
   */
  public void postUrgent(Consumer<RouterCore> event) {
    urgentQueue.add(event);
    wakeUp();
  }

  /**
   * Queues an event to run in one of the next ticks, in the order of posting. May be called from
   * any thread.
   */
  public void post(Consumer<RouterCore> event) {
    queue.add(event);
    wakeUp();
  }

  private void wakeUp() {
    if (isAsleep) {
      LockSupport.unpark(thread);
    }
  }

  /** Ends the thread after the current tick, and waits for its end for at most 5 s. */
  public void stop() {
    isStopped = true;
    LockSupport.unpark(thread);
    try {
      thread.join(STOP_TIMEOUT_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void run() {
    try {
      runTicks();
    } catch (Throwable e) { // includes errors: without this thread no request is served
      failureListener.accept(e);
    }
  }

  private void runTicks() {
    List<Consumer<RouterCore>> batch = new ArrayList<>();
    core.tick(now(), batch); // lets the policy schedule its first wake-up
    while (!isStopped) {
      collectEvents(batch, MAX_EVENTS_PER_TICK);
      Duration due = core.nextDue();
      Duration now = now();
      boolean isDue = due != null && due.compareTo(now) <= 0;
      if (batch.isEmpty() && !isDue) {
        sleep(due, now);
        continue;
      }
      if (isDue) {
        handleLateness(now.minus(due), batch);
      }
      core.tick(now(), batch);
      batch.clear();
      if (isDue) {
        reportTimerDelay(now().minus(due));
      }
    }
  }

  /**
   * Reports how long after their due time timers have been handled, which includes the duration of
   * the tick. A pause of the process is no measure of the delays to expect.
   */
  private void reportTimerDelay(Duration delay) {
    if (delay.compareTo(PAUSE_THRESHOLD) <= 0) {
      core.timersDelayed(delay);
    }
  }

  /**
   * Reports the delay of a tick and, after a pause of the process, collects all events that arrived
   * during it.
   */
  private void handleLateness(Duration lateness, List<Consumer<RouterCore>> batch) {
    latenessListener.accept(lateness.toNanos() / NANOS_PER_MICRO);
    if (lateness.compareTo(PAUSE_THRESHOLD) > 0) {
      pendingReadsBarrier.run();
      collectEvents(batch, Integer.MAX_VALUE);
    }
  }

  /**
   * Moves all urgent events to the batch, then other events until the batch has {@code maxEvents}.
   */
  private void collectEvents(List<Consumer<RouterCore>> batch, int maxEvents) {
    Consumer<RouterCore> event = urgentQueue.poll();
    while (event != null) {
      batch.add(event);
      event = urgentQueue.poll();
    }
    while (batch.size() < maxEvents) {
      event = queue.poll();
      if (event == null) {
        return;
      }
      batch.add(event);
    }
  }

  private void sleep(Duration due, Duration now) {
    isAsleep = true;
    if (queue.isEmpty() && urgentQueue.isEmpty() && !isStopped) {
      if (due == null) {
        LockSupport.park(this);
      } else {
        LockSupport.parkNanos(this, due.minus(now).toNanos());
      }
    }
    isAsleep = false;
  }
}

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
 * * The thread that owns a router's core: gathers events, runs ticks, sleeps until the next is due.
 * The queues are not bounded here: whoever posts events must bound them.
 */
public final class EventLoop implements Runnable {
  /** Events of one tick; the others wait for the next, so that timers stay on time. */
  private static final int MAX_EVENTS_PER_TICK = 512;

  private static final long STOP_TIMEOUT_MILLIS = 5000;
  private static final long NANOS_PER_MICRO = 1000;

  /**
   * A tick later than this means that the process was paused: what arrived meanwhile is read first.
   */
  private static final Duration PAUSE_THRESHOLD = Duration.ofMillis(100);

  private final long startedNanos = System.nanoTime();
  private final ConcurrentLinkedQueue<Consumer<RouterCore>> queue = new ConcurrentLinkedQueue<>();
  private final ConcurrentLinkedQueue<Consumer<RouterCore>> urgent = new ConcurrentLinkedQueue<>();
  private final RouterCore core;
  private final Thread thread;
  private final LongConsumer latenessListener;
  private final Consumer<Throwable> failureListener;
  private final Runnable pendingReads;
  private volatile boolean stopped;
  private volatile boolean asleep;

  /**
   * Creates a loop that is not started yet.
   *
   * @param coreFactory creates the core, which may post to this loop
   * @param threadName name of the loop's thread
   * @param latenessListener receives the microseconds by which a tick was late
   * @param failureListener receives the cause of a tick that failed; the loop ends there, as its
   *     state may be inconsistent
   * @param pendingReads blocks, for a bounded time, until what is in the sockets has been read and
   *     posted; called after a pause, before any deadline is judged
   */
  public EventLoop(
      Function<EventLoop, RouterCore> coreFactory,
      String threadName,
      LongConsumer latenessListener,
      Consumer<Throwable> failureListener,
      Runnable pendingReads) {
    this.latenessListener = latenessListener;
    this.failureListener = failureListener;
    this.pendingReads = pendingReads;
    core = coreFactory.apply(this);
    thread = new Thread(this, threadName);
  }

  /** Starts the thread. */
  public void start() {
    thread.start();
  }

  /** Time since the loop was created. Any thread. */
  public Duration now() {
    return Duration.ofNanos(System.nanoTime() - startedNanos);
  }

  /**
   * Runs an event in the next tick, before all others posted: a draining worker must not wait for
   * its turn. Any thread.
   */
  public void postUrgent(Consumer<RouterCore> event) {
    urgent.add(event);
    wakeUp();
  }

  /** Runs an event in one of the next ticks, in order of posting. Any thread. */
  public void post(Consumer<RouterCore> event) {
    queue.add(event);
    wakeUp();
  }

  private void wakeUp() {
    if (asleep) {
      LockSupport.unpark(thread);
    }
  }

  /** Ends the thread after the current tick, and waits for that a bounded time. */
  public void stop() {
    stopped = true;
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
    } catch (Throwable e) { // errors too: without the thread no request is served
      failureListener.accept(e);
    }
  }

  private void runTicks() {
    List<Consumer<RouterCore>> batch = new ArrayList<>();
    core.tick(now(), batch); // the policy schedules its first wake-up
    while (!stopped) {
      gather(batch, MAX_EVENTS_PER_TICK);
      Duration due = core.nextDue();
      Duration now = now();
      boolean isDue = due != null && due.compareTo(now) <= 0;
      if (batch.isEmpty() && !isDue) {
        sleep(due, now);
        continue;
      }
      if (isDue) {
        catchUp(now.minus(due), batch);
      }
      core.tick(now(), batch);
      batch.clear();
    }
  }

  /** Reports how late a tick is; after a pause also gathers all that arrived meanwhile. */
  private void catchUp(Duration lateness, List<Consumer<RouterCore>> batch) {
    latenessListener.accept(lateness.toNanos() / NANOS_PER_MICRO);
    if (lateness.compareTo(PAUSE_THRESHOLD) > 0) {
      pendingReads.run();
      gather(batch, Integer.MAX_VALUE);
    }
  }

  /** Moves all urgent events to the batch, and others up to a number of events in all. */
  private void gather(List<Consumer<RouterCore>> batch, int maxEvents) {
    Consumer<RouterCore> event = urgent.poll();
    while (event != null) {
      batch.add(event);
      event = urgent.poll();
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
    asleep = true;
    if (queue.isEmpty() && urgent.isEmpty() && !stopped) {
      if (due == null) {
        LockSupport.park(this);
      } else {
        LockSupport.parkNanos(this, due.minus(now).toNanos());
      }
    }
    asleep = false;
  }
}

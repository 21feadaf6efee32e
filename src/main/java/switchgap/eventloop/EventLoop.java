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
 * The one thread that owns a router's core: gathers events, runs ticks, sleeps until the next is
 * due. The queues are not bounded here: whoever posts bounds what it may have in them.
 */
public final class EventLoop implements Runnable {
  /** Events of one tick; the rest waits for the next, so that timers stay on time. */
  private static final int MAX_EVENTS_PER_TICK = 512;

  private static final long STOP_TIMEOUT_MILLIS = 5000;

  /** A tick that is later was held up with the process: what came meanwhile is read first. */
  private static final Duration HELD_UP = Duration.ofMillis(100);

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
   * A loop that is not started yet.
   *
   * @param coreFactory makes the core, which may post to this loop
   * @param threadName name of the loop's thread
   * @param latenessListener hears the microseconds by which a tick came after its due time
   * @param failureListener hears of a tick that failed: the loop ends there, as what is half done
   *     can't be gone on from
   * @param pendingReads blocks, for a bounded time, until what stands in the sockets has been read
   *     and posted; called when a tick was held up, before anything is judged overdue
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

  /** Time since the loop was made; any thread. */
  public Duration now() {
    return Duration.ofNanos(System.nanoTime() - startedNanos);
  }

  /** Goes before all that waits: news of workers that drain must not stand in line. Any thread. */
  public void postUrgent(Consumer<RouterCore> event) {
    urgent.add(event);
    wakeUp();
  }

  /** Runs an event in the next tick; any thread. */
  public void post(Consumer<RouterCore> event) {
    queue.add(event);
    wakeUp();
  }

  private void wakeUp() {
    if (asleep) {
      LockSupport.unpark(thread);
    }
  }

  /** Ends the thread after the tick under way, and waits for that. */
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
    } catch (Throwable e) { // errors too: a thread that is gone serves nobody
      failureListener.accept(e);
    }
  }

  private void runTicks() {
    List<Consumer<RouterCore>> batch = new ArrayList<>();
    core.tick(now(), batch); // the policy asks for its first wake-up
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
        latenessListener.accept(now.minus(due).toNanos() / 1000);
      }
      if (isDue && now.minus(due).compareTo(HELD_UP) > 0) {
        pendingReads.run();
        gather(batch, Integer.MAX_VALUE);
      }
      core.tick(now(), batch);
      batch.clear();
    }
  }

  /** All urgent events, and others up to the bound of a tick. */
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

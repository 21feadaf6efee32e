package switchgap.net;

import java.time.Duration;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A fixed number of threads that carry out the writes which one event loop decided on: encoding and
 * writing are most of what a request costs, and the loop is a single thread. Tasks of the same key
 * run in the order in which they were given. The queues are not bounded here: whoever adds tasks
 * bounds how many are pending.
 */
public final class KeyedWriters implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(KeyedWriters.class);

  private final Writer[] writers;

  /** Starts daemon threads named {@code name-0}, {@code name-1} and so on. */
  public KeyedWriters(int threads, String name) {
    writers = new Writer[threads];
    for (int i = 0; i < threads; i++) {
      writers[i] = new Writer(name + "-" + i);
      writers[i].thread.start();
    }
  }

  /** Adds a task behind the earlier ones of its key; any thread. A task that throws is logged. */
  public void execute(int key, Runnable task) {
    writers[Math.floorMod(key, writers.length)].add(task);
  }

  /**
   * Waits until all tasks that were added before have run, for a bounded time.
   *
   * @return whether they have
   */
  public boolean awaitPending(Duration timeout) throws InterruptedException {
    CountDownLatch reached = new CountDownLatch(writers.length);
    for (Writer writer : writers) {
      writer.add(reached::countDown);
    }
    return reached.await(timeout.toMillis(), TimeUnit.MILLISECONDS);
  }

  /** Requests the threads to end; pending tasks may not run. */
  @Override
  public void close() {
    for (Writer writer : writers) {
      writer.stop();
    }
  }

  /** One thread and the queue that it works off. */
  private static final class Writer implements Runnable {
    private final ConcurrentLinkedQueue<Runnable> queue = new ConcurrentLinkedQueue<>();
    private final Thread thread;
    private volatile boolean asleep;
    private volatile boolean stopped;

    Writer(String threadName) {
      thread = new Thread(this, threadName);
      thread.setDaemon(true);
    }

    void add(Runnable task) {
      queue.add(task);
      if (asleep) {
        LockSupport.unpark(thread);
      }
    }

    void stop() {
      stopped = true;
      LockSupport.unpark(thread);
    }

    @Override
    public void run() {
      while (!stopped) {
        Runnable task = queue.poll();
        if (task == null) {
          sleep();
        } else {
          runLogged(task);
        }
      }
    }

    /** Sets the flag before it polls the queue again, so that a task added meanwhile wakes it. */
    private void sleep() {
      asleep = true;
      if (queue.isEmpty() && !stopped) {
        LockSupport.park(this);
      }
      asleep = false;
    }

    private static void runLogged(Runnable task) {
      try {
        task.run();
      } catch (RuntimeException e) {
        LOG.error("a write failed", e);
      }
    }
  }
}

package switchgap.net;

import java.time.Duration;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A fixed number of threads that perform the writes of an event loop. Encoding and writing are most
 * of the cost of a request, and the loop has only one thread. Tasks with the same key run in the
 * order in which they were added. The queues are unbounded: the caller must limit the number of
 * pending tasks.
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

  /**
   * Queues a task after the earlier tasks with the same key. Can be called on any thread. An
   * exception thrown by the task is logged.
   */
  public void execute(int key, Runnable task) {
    writers[Math.floorMod(key, writers.length)].add(task);
  }

  /**
   * Waits until all tasks that were added before this call have run, or until the timeout.
   *
   * @return whether all of them have run
   */
  public boolean awaitPending(Duration timeout) throws InterruptedException {
    CountDownLatch pendingWriters = new CountDownLatch(writers.length);
    for (Writer writer : writers) {
      writer.add(pendingWriters::countDown);
    }
    return pendingWriters.await(timeout.toMillis(), TimeUnit.MILLISECONDS);
  }

  /** Stops the threads. Pending tasks may not run. */
  @Override
  public void close() {
    for (Writer writer : writers) {
      writer.stop();
    }
  }

  /** A thread and the queue of its tasks. */
  private static final class Writer implements Runnable {
    private final ConcurrentLinkedQueue<Runnable> queue = new ConcurrentLinkedQueue<>();
    private final Thread thread;
    private volatile boolean parked;
    private volatile boolean stopped;

    Writer(String threadName) {
      thread = new Thread(this, threadName);
      thread.setDaemon(true);
    }

    void add(Runnable task) {
      queue.add(task);
      if (parked) {
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
          parkWhileEmpty();
        } else {
          runAndLogFailure(task);
        }
      }
    }

    /**
     * Sets the flag before checking the queue again, so that a task added in between wakes the
     * thread.
     */
    private void parkWhileEmpty() {
      parked = true;
      if (queue.isEmpty() && !stopped) {
        LockSupport.park(this);
      }
      parked = false;
    }

    private static void runAndLogFailure(Runnable task) {
      try {
        task.run();
      } catch (RuntimeException e) {
        LOG.error(
            "write task failed, its message may not have been sent; continuing with the next task",
            e);
      }
    }
  }
}

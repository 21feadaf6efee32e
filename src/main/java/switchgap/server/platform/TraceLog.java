package switchgap.server.platform;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import switchgap.net.WallClock;

/**
 * Trace lines on standard error, written by a thread of their own so that no caller blocks. Past
 * the queue's capacity they are dropped and counted. Thread-safe.
 */
final class TraceLog {
  private static final int MAX_QUEUED_LINES = 8192;

  private final ArrayBlockingQueue<String> queue = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);
  private final AtomicLong droppedLines = new AtomicLong();

  /** A trace log with a started writer thread. */
  TraceLog() {
    Thread writer = new Thread(this::writeLines, "trace");
    writer.setDaemon(true);
    writer.start();
  }

  /** Queues a line with the time; never blocks. */
  void line(String text) {
    if (!queue.offer(WallClock.now() + " " + text)) {
      droppedLines.incrementAndGet();
    }
  }

  private void writeLines() {
    try {
      while (true) {
        System.err.println(queue.take());
        long dropped = droppedLines.getAndSet(0);
        if (dropped > 0) {
          System.err.println("switchgap: " + dropped + " trace lines were dropped");
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}

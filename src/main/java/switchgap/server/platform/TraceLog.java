package switchgap.server.platform;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import switchgap.net.WallClock;

/**
 * Writes trace lines to standard error on a separate thread, so that callers never block. Lines
 * that exceed the queue's capacity are dropped and counted. Thread-safe.
 */
final class TraceLog {
  private static final int MAX_QUEUED_LINES = 8192;

  private final ArrayBlockingQueue<String> queue = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);
  private final AtomicLong droppedLines = new AtomicLong();

  /** Starts the writer thread. */
  TraceLog() {
    Thread writer = new Thread(this::writeLines, "trace");
    writer.setDaemon(true);
    writer.start();
  }

  /** Queues a line, prefixed with the time; never blocks. */
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
          System.err.println(
              "switchgap: " + dropped + " trace lines dropped, as the trace queue was full");
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}

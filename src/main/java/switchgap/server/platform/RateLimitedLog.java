package switchgap.server.platform;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import switchgap.net.WallClock;

/**
 * A log on standard error with a bounded number of lines in each window, so that clients can't fill
 * it. With {@code SWITCHGAP_TRACE=1} in the environment each event of a request has a trace line as
 * well; trace lines pass through a bounded queue to a writer thread, and are dropped and counted
 * when it is full. Thread-safe.
 */
final class RateLimitedLog {
  private static final int MAX_LINES_PER_WINDOW = 30;
  private static final long WINDOW_NANOS = 10_000_000_000L;
  private static final int MAX_LINE_LENGTH = 300;
  private static final int MAX_QUEUED_TRACES = 8192;
  private static final String TRACE_VARIABLE = "SWITCHGAP_TRACE";
  private static final String TRACE_ON = "1";

  private final boolean tracing = TRACE_ON.equals(System.getenv(TRACE_VARIABLE));

  /** Null unless events are traced. */
  private final ArrayBlockingQueue<String> queuedTraces =
      tracing ? new ArrayBlockingQueue<>(MAX_QUEUED_TRACES) : null;

  private final AtomicLong droppedTraces = new AtomicLong();
  private long windowStartNanos = System.nanoTime();
  private int linesInWindow;
  private long droppedLines;

  /** A log, with a started writer thread if events are traced. */
  RateLimitedLog() {
    if (tracing) {
      Thread writer = new Thread(this::writeTraces, "trace");
      writer.setDaemon(true);
      writer.start();
    }
  }

  /** Whether each event of a request has a trace line. */
  boolean isTracing() {
    return tracing;
  }

  /** Queues a trace line, if events are traced; never blocks. */
  void trace(String text) {
    if (tracing && !queuedTraces.offer(WallClock.now() + " " + text)) {
      droppedTraces.incrementAndGet();
    }
  }

  private void writeTraces() {
    try {
      while (true) {
        System.err.println(queuedTraces.take());
        long dropped = droppedTraces.getAndSet(0);
        if (dropped > 0) {
          System.err.println("switchgap: " + dropped + " trace lines were dropped");
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Writes a line, truncated and with the time, or drops it if the window is full. */
  synchronized void line(String text) {
    long now = System.nanoTime();
    if (now - windowStartNanos >= WINDOW_NANOS) {
      startWindow(now);
    }
    if (linesInWindow < MAX_LINES_PER_WINDOW) {
      System.err.println(WallClock.now() + " switchgap: " + bounded(text));
    } else {
      droppedLines++;
    }
    linesInWindow++;
  }

  private void startWindow(long now) {
    if (droppedLines > 0) {
      System.err.println("switchgap: " + droppedLines + " lines were left out");
    }
    windowStartNanos = now;
    linesInWindow = 0;
    droppedLines = 0;
  }

  private static String bounded(String text) {
    if (text == null) {
      return "";
    }
    return text.length() > MAX_LINE_LENGTH ? text.substring(0, MAX_LINE_LENGTH) : text;
  }
}

package switchgap.server.platform;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import switchgap.net.WallClock;

/**
 * Lines on standard error, a bounded number in each window: what others send must not fill the log.
 * With {@code SWITCHGAP_TRACE=1} in the environment each event of a request has a line besides;
 * these go through a bounded queue and a thread of its own, and past the bound they are dropped and
 * counted. Any thread.
 */
final class RateLimitedLog {
  private static final int MAX_LINES_PER_WINDOW = 30;
  private static final long WINDOW_NANOS = 10_000_000_000L;
  private static final int MAX_LINE_LENGTH = 300;
  private static final int MAX_QUEUED_LINES = 8192;
  private static final String TRACE_VARIABLE = "SWITCHGAP_TRACE";
  private static final String TRACE_ON = "1";

  private final boolean tracing = TRACE_ON.equals(System.getenv(TRACE_VARIABLE));

  /** Null where nothing is traced. */
  private final ArrayBlockingQueue<String> traced =
      tracing ? new ArrayBlockingQueue<>(MAX_QUEUED_LINES) : null;

  private final AtomicLong droppedTraces = new AtomicLong();
  private long windowStartNanos = System.nanoTime();
  private int lines;
  private long droppedLines;

  /** A log; its thread starts where events are traced. */
  RateLimitedLog() {
    if (tracing) {
      Thread writer = new Thread(this::writeTraces, "trace");
      writer.setDaemon(true);
      writer.start();
    }
  }

  /** Whether each event of a request has a line. */
  boolean isTracing() {
    return tracing;
  }

  /** Writes a line of a trace, where events are traced; never blocks. */
  void trace(String text) {
    if (tracing && !traced.offer(WallClock.now() + " " + text)) {
      droppedTraces.incrementAndGet();
    }
  }

  private void writeTraces() {
    try {
      while (true) {
        System.err.println(traced.take());
        long dropped = droppedTraces.getAndSet(0);
        if (dropped > 0) {
          System.err.println("switchgap: " + dropped + " trace lines were dropped");
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Writes a line, cut to its bound, with the time; drops it when the window has had its number.
   */
  synchronized void line(String text) {
    long now = System.nanoTime();
    if (now - windowStartNanos >= WINDOW_NANOS) {
      startWindow(now);
    }
    if (lines < MAX_LINES_PER_WINDOW) {
      System.err.println(WallClock.now() + " switchgap: " + bounded(text));
    } else {
      droppedLines++;
    }
    lines++;
  }

  private void startWindow(long now) {
    if (droppedLines > 0) {
      System.err.println("switchgap: " + droppedLines + " lines were left out");
    }
    windowStartNanos = now;
    lines = 0;
    droppedLines = 0;
  }

  private static String bounded(String text) {
    if (text == null) {
      return "";
    }
    return text.length() > MAX_LINE_LENGTH ? text.substring(0, MAX_LINE_LENGTH) : text;
  }
}

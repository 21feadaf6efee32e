package switchgap.server.platform;

import switchgap.net.WallClock;

/**
 * A log on standard error with a bounded number of lines in each window, so that clients can't fill
 * it. With {@code SWITCHGAP_TRACE=1} in the environment each event of a request has a line in a
 * {@link TraceLog} as well. Thread-safe.
 */
final class RateLimitedLog {
  private static final int MAX_LINES_PER_WINDOW = 30;
  private static final long WINDOW_NANOS = 10_000_000_000L;
  private static final int MAX_LINE_LENGTH = 300;
  private static final String TRACE_VARIABLE = "SWITCHGAP_TRACE";
  private static final String TRACE_ON = "1";

  /** Null unless events are traced. */
  private final TraceLog traces =
      TRACE_ON.equals(System.getenv(TRACE_VARIABLE)) ? new TraceLog() : null;

  private long windowStartNanos = System.nanoTime();
  private int linesInWindow;
  private long droppedLines;

  /** Whether each event of a request has a trace line. */
  boolean isTracing() {
    return traces != null;
  }

  /** Queues a trace line, if events are traced; never blocks. */
  void trace(String text) {
    if (traces != null) {
      traces.line(text);
    }
  }

  /** Writes a line, truncated and with the time, or drops it if the window is full. */
  synchronized void line(String text) {
    long now = System.nanoTime();
    if (now - windowStartNanos >= WINDOW_NANOS) {
      startWindow(now);
    }
    if (linesInWindow < MAX_LINES_PER_WINDOW) {
      System.err.println(WallClock.now() + " switchgap: " + truncate(text));
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

  private static String truncate(String text) {
    if (text == null) {
      return "";
    }
    return text.length() > MAX_LINE_LENGTH ? text.substring(0, MAX_LINE_LENGTH) : text;
  }
}

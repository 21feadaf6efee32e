package switchgap.server.platform;

import switchgap.net.WallClock;

/**
 * A log on standard error that limits the number of lines per time window, so that clients cannot
 * flood it. With {@code SWITCHGAP_TRACE=1} in the environment, each event of a request is also
 * written to a {@link TraceLog}. Thread-safe.
 */
final class RateLimitedLog {
  private static final int MAX_LINES_PER_WINDOW = 30;
  private static final long WINDOW_NANOS = 10_000_000_000L;
  private static final int MAX_LINE_LENGTH = 300;
  private static final String TRACE_VARIABLE = "SWITCHGAP_TRACE";
  private static final String TRACE_ENABLED_VALUE = "1";

  /** The trace log, or null unless events are traced. */
  private final TraceLog traceLog =
      TRACE_ENABLED_VALUE.equals(System.getenv(TRACE_VARIABLE)) ? new TraceLog() : null;

  private long windowStartNanos = System.nanoTime();
  private int linesInWindow;
  private long droppedLines;

  /** Whether events of requests are traced. */
  boolean isTracing() {
    return traceLog != null;
  }

  /** Queues a trace line, if events are traced; never blocks. */
  void trace(String text) {
    if (traceLog != null) {
      traceLog.line(text);
    }
  }

  /**
   * Writes a line with the time, truncated to the maximum length; drops it if the window's limit is
   * reached.
   */
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
      System.err.println(
          "switchgap: " + droppedLines + " log lines dropped, as the rate limit was exceeded");
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

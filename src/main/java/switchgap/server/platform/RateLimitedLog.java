package switchgap.server.platform;

import switchgap.net.WallClock;

/**
 * Lines on standard error, a bounded number in each window: what others send must not fill the log. Any
 * thread.
 */
final class RateLimitedLog {
    private static final int MAX_LINES_PER_WINDOW = 30;
    private static final long WINDOW_NANOS = 10_000_000_000L;
    private static final int MAX_LINE_LENGTH = 300;

    private long windowStartNanos = System.nanoTime();
    private int lines;
    private long droppedLines;

    /** Writes a line, cut to its bound, with the time; drops it when the window has had its number. */
    synchronized void line(String text) {
        long now = System.nanoTime();
        if (now - windowStartNanos >= WINDOW_NANOS) { startWindow(now); }
        if (lines < MAX_LINES_PER_WINDOW) {
            System.err.println(WallClock.now() + " switchgap: " + bounded(text));
        } else {
            droppedLines++;
        }
        lines++;
    }

    private void startWindow(long now) {
        if (droppedLines > 0) { System.err.println("switchgap: " + droppedLines + " lines were left out"); }
        windowStartNanos = now;
        lines = 0;
        droppedLines = 0;
    }

    private static String bounded(String text) {
        if (text == null) { return ""; }
        return text.length() > MAX_LINE_LENGTH ? text.substring(0, MAX_LINE_LENGTH) : text;
    }
}

package switchgap.server.platform;

/** Lines on standard error, so many a span at the most: what others send must not fill the log. */
final class RateLimitedLog {
    private static final int MOST = 30;
    private static final long SPAN = 10_000_000_000L;
    private long began = System.nanoTime();
    private int lines;
    private long left;

    synchronized void line(String text) {
        long now = System.nanoTime();
        if (now - began >= SPAN) {
            if (left > 0) { System.err.println("switchgap: " + left + " lines were left out"); }
            began = now;
            lines = 0;
            left = 0;
        }
        if (lines++ < MOST) {
            System.err.println(java.time.Instant.now() + " switchgap: "
                + (text == null ? "" : text.length() > 300 ? text.substring(0, 300) : text));
        } else {
            left++;
        }
    }
}

package switchgap.server.platform;

import java.net.InetSocketAddress;
import java.util.Map;
import switchgap.config.InvalidConfigException;

/**
 * Follows the event stream that the configuration file names after a SIGHUP. A file that can't be
 * used is read again for a while, as it may be half written; the old event stream is kept
 * meanwhile. Of several signals the last one counts. Thread-safe.
 */
final class EndpointStreamReloader {
  /** Goes over to another event stream. */
  interface Follower {
    /** Follows the event stream at this address. */
    void follow(InetSocketAddress feed);
  }

  private static final int MAX_READS = 30;
  private static final long READ_INTERVAL_MILLIS = 100;

  private final Map<String, String> environment;
  private final Follower follower;
  private final RateLimitedLog log;

  /** Number of the signal that came last; guarded by this. */
  private long lastSignal;

  EndpointStreamReloader(Map<String, String> environment, Follower follower, RateLimitedLog log) {
    this.environment = environment;
    this.follower = follower;
    this.log = log;
  }

  /** Reads the file on a thread of its own; returns at once. */
  synchronized void reload() {
    long signal = ++lastSignal;
    Thread reader = new Thread(() -> read(signal), "reload");
    reader.setDaemon(true);
    reader.start();
  }

  private void read(long signal) {
    for (int reads = 0; reads < MAX_READS && isLast(signal); reads++) {
      if (readOnce(signal, reads == 0)) {
        return;
      }
      pause();
    }
  }

  private synchronized boolean isLast(long signal) {
    return signal == lastSignal;
  }

  /** Whether the file could be used; only the first failure is logged. */
  private boolean readOnce(long signal, boolean isFirst) {
    try {
      InetSocketAddress feed = PlatformConfig.readFeed(environment);
      follow(signal, feed);
      return true;
    } catch (InvalidConfigException e) {
      if (isFirst) {
        log.line("SIGHUP: the old feed is kept: " + e.getMessage());
      }
      return false;
    }
  }

  private synchronized void follow(long signal, InetSocketAddress feed) {
    if (signal == lastSignal) {
      log.line(
          "SIGHUP: the control feed is followed at " + feed.getHostString() + ":" + feed.getPort());
      follower.follow(feed);
    }
  }

  private static void pause() {
    try {
      Thread.sleep(READ_INTERVAL_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}

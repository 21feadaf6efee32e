package switchgap.server.platform;

import java.net.InetSocketAddress;
import java.util.Map;
import switchgap.config.InvalidConfigException;

/**
 * After a SIGHUP, follows the event stream that the configuration file names then. An unusable file
 * is read again for a while, as it may be half written; the old event stream is followed meanwhile.
 * A later signal supersedes an earlier one. Thread-safe.
 */
final class EndpointStreamReloader {
  /** Follows one event stream at a time. */
  interface Follower {
    /** Follows the event stream at this address instead of the current one. */
    void follow(InetSocketAddress address);
  }

  private static final int MAX_READS = 30;
  private static final long READ_INTERVAL_MILLIS = 100;

  private final Map<String, String> environment;
  private final Follower follower;
  private final RateLimitedLog log;

  /** Number of the latest signal; guarded by this. */
  private long latestSignal;

  EndpointStreamReloader(Map<String, String> environment, Follower follower, RateLimitedLog log) {
    this.environment = environment;
    this.follower = follower;
    this.log = log;
  }

  /** Reads the file on a separate thread; returns at once. */
  synchronized void reload() {
    long signal = ++latestSignal;
    Thread reader = new Thread(() -> read(signal), "reload");
    reader.setDaemon(true);
    reader.start();
  }

  private void read(long signal) {
    for (int reads = 0; reads < MAX_READS && isLatest(signal); reads++) {
      boolean isFirstRead = reads == 0;
      if (readOnce(signal, isFirstRead)) {
        return;
      }
      sleepUntilNextRead();
    }
  }

  private synchronized boolean isLatest(long signal) {
    return signal == latestSignal;
  }

  /** Whether the file could be used; only the first failure is logged. */
  private boolean readOnce(long signal, boolean isFirstRead) {
    try {
      InetSocketAddress address = PlatformConfig.readEventStream(environment);
      follow(signal, address);
      return true;
    } catch (InvalidConfigException e) {
      if (isFirstRead) {
        log.line("SIGHUP: the old feed is kept: " + e.getMessage());
      }
      return false;
    }
  }

  private synchronized void follow(long signal, InetSocketAddress address) {
    if (signal == latestSignal) {
      log.line(
          "SIGHUP: the control feed is followed at "
              + address.getHostString()
              + ":"
              + address.getPort());
      follower.follow(address);
    }
  }

  private static void sleepUntilNextRead() {
    try {
      Thread.sleep(READ_INTERVAL_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}

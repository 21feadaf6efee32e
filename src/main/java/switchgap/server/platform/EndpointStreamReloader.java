package switchgap.server.platform;

import java.net.InetSocketAddress;
import java.util.Map;
import switchgap.config.InvalidConfigException;

/**
 * On SIGHUP, rereads the configuration file and follows the event stream that it names. An invalid
 * file is reread for a limited time, as it may be half written; the current event stream stays in
 * use until the file is valid. A later signal supersedes an earlier one. Thread-safe.
 */
final class EndpointStreamReloader {
  /** Follows one event stream at a time. */
  interface Follower {
    /** Follows the event stream at this address instead of the current one. */
    void follow(InetSocketAddress address);
  }

  private static final int MAX_READ_ATTEMPTS = 30;
  private static final long READ_INTERVAL_MILLIS = 100;

  private final Map<String, String> environment;
  private final Follower follower;
  private final RateLimitedLog log;

  /** Number of the latest signal, counted from 1. Guarded by this. */
  private long latestSignalNumber;

  EndpointStreamReloader(Map<String, String> environment, Follower follower, RateLimitedLog log) {
    this.environment = environment;
    this.follower = follower;
    this.log = log;
  }

  /** Rereads the file on a separate thread and returns immediately. */
  synchronized void reload() {
    long signalNumber = ++latestSignalNumber;
    Thread reader = new Thread(() -> read(signalNumber), "reload");
    reader.setDaemon(true);
    reader.start();
  }

  private void read(long signalNumber) {
    for (int readCount = 0; readCount < MAX_READ_ATTEMPTS && isLatest(signalNumber); readCount++) {
      boolean isFirstRead = readCount == 0;
      if (readOnce(signalNumber, isFirstRead)) {
        return;
      }
      sleepUntilNextRead();
    }
  }

  private synchronized boolean isLatest(long signalNumber) {
    return signalNumber == latestSignalNumber;
  }

  /** Reads the file once; returns whether it was valid. Only the first failure is logged. */
  private boolean readOnce(long signalNumber, boolean isFirstRead) {
    try {
      InetSocketAddress address = PlatformConfig.readEventStream(environment);
      follow(signalNumber, address);
      return true;
    } catch (InvalidConfigException e) {
      if (isFirstRead) {
        log.line(
            "SIGHUP: invalid configuration, keeping the current event stream: " + e.getMessage());
      }
      return false;
    }
  }

  private synchronized void follow(long signalNumber, InetSocketAddress address) {
    if (signalNumber == latestSignalNumber) {
      log.line(
          "SIGHUP: following the event stream at "
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

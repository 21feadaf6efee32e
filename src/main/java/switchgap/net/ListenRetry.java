package switchgap.net;

import java.io.IOException;
import java.net.BindException;
import java.time.Duration;

/**
 * Retries opening a listening socket at start-up, where descriptors or memory may be short briefly.
 */
public final class ListenRetry {
  private static final Duration TIMEOUT = Duration.ofSeconds(5);
  private static final long DELAY_MILLIS = 50;

  /** Begins to listen. */
  public interface Listen {
    /** Listens, or fails. */
    void run() throws IOException;
  }

  private ListenRetry() {}

  /**
   * Listens, and retries for a bounded time.
   *
   * @throws IOException when the address can't be listened on, or the retries timed out
   */
  public static void listen(Listen listen) throws IOException {
    long startNanos = System.nanoTime();
    while (true) {
      try {
        listen.run();
        return;
      } catch (BindException e) {
        throw e; // the address itself: a retry does not help
      } catch (IOException e) {
        if (System.nanoTime() - startNanos > TIMEOUT.toNanos()) {
          throw e;
        }
      }
      awaitRetry();
    }
  }

  private static void awaitRetry() throws IOException {
    try {
      Thread.sleep(DELAY_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted", e);
    }
  }
}

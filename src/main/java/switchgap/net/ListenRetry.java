package switchgap.net;

import java.io.IOException;
import java.net.BindException;
import java.time.Duration;

/**
 * Retries opening a listening socket at start-up, when file descriptors or memory may be
 * temporarily exhausted.
 */
public final class ListenRetry {
  private static final Duration TIMEOUT = Duration.ofSeconds(5);
  private static final long DELAY_MILLIS = 50;

  /** An operation that opens a listening socket. */
  public interface ListenOperation {
    /** Opens the listening socket, or throws if that fails. */
    void run() throws IOException;
  }

  private ListenRetry() {}

  /**
   * Opens a listening socket, and retries for a limited time.
   *
   * @throws IOException if the socket can't be bound to the address, or all retries have failed
   */
  public static void listen(ListenOperation operation) throws IOException {
    long startNanos = System.nanoTime();
    while (true) {
      try {
        operation.run();
        return;
      } catch (BindException e) {
        throw e; // The address can't be used, so a retry would fail as well.
      } catch (IOException e) {
        if (System.nanoTime() - startNanos > TIMEOUT.toNanos()) {
          throw e;
        }
      }
      sleepBeforeRetry();
    }
  }

  private static void sleepBeforeRetry() throws IOException {
    try {
      Thread.sleep(DELAY_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted", e);
    }
  }
}

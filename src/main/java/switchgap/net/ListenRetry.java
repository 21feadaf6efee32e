package switchgap.net;

import java.io.IOException;
import java.net.BindException;
import java.time.Duration;

/** Opens a listening socket at a start: descriptors or memory may be short for a moment. */
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
   * Listens, for a bounded time again and again.
   *
   * @throws IOException when the address can't be listened on, or nothing helped in time
   */
  public static void listen(Listen listen) throws IOException {
    long startNanos = System.nanoTime();
    while (true) {
      try {
        listen.run();
        return;
      } catch (BindException e) {
        throw e; // the address itself: time does not help
      } catch (IOException e) {
        if (System.nanoTime() - startNanos > TIMEOUT.toNanos()) {
          throw e;
        }
      }
      pause();
    }
  }

  private static void pause() throws IOException {
    try {
      Thread.sleep(DELAY_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted", e);
    }
  }
}

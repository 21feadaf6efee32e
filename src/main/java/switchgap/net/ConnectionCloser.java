package switchgap.net;

import java.util.concurrent.TimeUnit;
import org.glassfish.grizzly.Connection;

/**
 * Closes connections. Grizzly 4.0.2 closes a connection only after all pending bytes have been
 * written ({@code NIOConnection.closeGracefully0}). That never happens if the peer does not read or
 * if a write has failed, so the time for writing them is limited.
 */
final class ConnectionCloser {
  private static final long MAX_FLUSH_MILLIS = 500;

  private ConnectionCloser() {}

  /**
   * Closes a connection once all queued bytes have been written, or after {@link
   * #MAX_FLUSH_MILLIS}. Can be called on any thread.
   */
  static void close(Connection<?> connection) {
    connection.closeSilently();
    if (connection.isOpen()) {
      TimerThread.EXECUTOR.schedule(
          connection::terminateSilently, MAX_FLUSH_MILLIS, TimeUnit.MILLISECONDS);
    }
  }
}

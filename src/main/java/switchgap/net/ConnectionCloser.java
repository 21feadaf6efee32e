package switchgap.net;

import java.util.concurrent.TimeUnit;
import org.glassfish.grizzly.Connection;

/**
 * Closes connections. Grizzly 4.0.2 closes one behind what is still to be written ({@code
 * NIOConnection.closeGracefully0}), which never comes to its end where the peer does not read or a
 * write has failed: so the rest has a bounded time.
 */
final class ConnectionCloser {
  private static final long MAX_FLUSH_MILLIS = 500;

  private ConnectionCloser() {}

  /**
   * Closes a connection once what is queued has been written, or after a bounded time; any thread.
   */
  static void close(Connection<?> connection) {
    connection.closeSilently();
    if (connection.isOpen()) {
      TimerThread.EXECUTOR.schedule(
          connection::terminateSilently, MAX_FLUSH_MILLIS, TimeUnit.MILLISECONDS);
    }
  }
}

package switchgap.testbed.emulator;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import switchgap.net.ConnectFailure;
import switchgap.net.HttpClientConnection;
import switchgap.net.HttpClientConnector;

/**
 * A pool of persistent connections to one server. Each connection carries one exchange at a time.
 * Used only on the scheduler's thread.
 */
final class ConnectionPool {
  private static final Logger LOG = LoggerFactory.getLogger(ConnectionPool.class);

  private final Scheduler scheduler;
  private final HttpClientConnector connector;
  private final InetSocketAddress server;
  private final Duration connectTimeout;
  private final ArrayDeque<HttpClientConnection> idleConnections = new ArrayDeque<>();
  private boolean hasFailed;

  ConnectionPool(
      Scheduler scheduler,
      HttpClientConnector connector,
      InetSocketAddress server,
      Duration connectTimeout) {
    this.scheduler = scheduler;
    this.connector = connector;
    this.server = server;
    this.connectTimeout = connectTimeout;
  }

  /**
   * Acquires a connection: an idle one immediately, or else a new one. Exactly one of the callbacks
   * is called, once, on the scheduler's thread.
   */
  void acquire(Consumer<HttpClientConnection> onReady, Runnable onFailure) {
    HttpClientConnection connection = idleConnections.pollFirst();
    while (connection != null && !connection.isUsable()) {
      connection = idleConnections.pollFirst();
    }
    if (connection != null) {
      onReady.accept(connection);
      return;
    }
    connector.connect(
        server,
        connectTimeout,
        new HttpClientConnection.ConnectCallback() {
          @Override
          public void connected(HttpClientConnection opened) {
            scheduler.post(() -> onReady.accept(opened));
          }

          @Override
          public void failed(ConnectFailure failure) {
            scheduler.post(
                () -> {
                  logFirst(failure);
                  onFailure.run();
                });
          }
        });
  }

  private void logFirst(ConnectFailure failure) {
    if (!hasFailed) {
      LOG.warn("first failed connect to {}: {} {}", server, failure.reason(), failure.detail());
    }
    hasFailed = true;
  }

  /** Returns a connection to the pool. */
  void release(HttpClientConnection connection) {
    idleConnections.addFirst(connection);
  }
}

package switchgap.testbed.emulator;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.function.Consumer;
import switchgap.net.ConnectFailure;
import switchgap.net.HttpClientConnection;
import switchgap.net.HttpClientConnector;

/**
 * Persistent connections to one server: each carries one exchange at a time. On the scheduler's
 * thread.
 */
final class ConnectionPool {
  private final Scheduler scheduler;
  private final HttpClientConnector factory;
  private final InetSocketAddress server;
  private final Duration connectTimeout;
  private final ArrayDeque<HttpClientConnection> idle = new ArrayDeque<>();

  ConnectionPool(
      Scheduler scheduler,
      HttpClientConnector factory,
      InetSocketAddress server,
      Duration connectTimeout) {
    this.scheduler = scheduler;
    this.factory = factory;
    this.server = server;
    this.connectTimeout = connectTimeout;
  }

  /**
   * Hands over an idle connection at once, else a new one; one of the callbacks is called, once.
   */
  void acquire(Consumer<HttpClientConnection> onReady, Runnable onFailure) {
    HttpClientConnection connection = idle.pollFirst();
    while (connection != null && !connection.isUsable()) {
      connection = idle.pollFirst();
    }
    if (connection != null) {
      onReady.accept(connection);
      return;
    }
    factory.connect(
        server,
        connectTimeout,
        new HttpClientConnection.ConnectCallback() {
          @Override
          public void connected(HttpClientConnection opened) {
            scheduler.post(() -> onReady.accept(opened));
          }

          @Override
          public void failed(ConnectFailure failure) {
            scheduler.post(onFailure);
          }
        });
  }

  /** Gives a connection back for reuse. */
  void release(HttpClientConnection connection) {
    idle.addFirst(connection);
  }
}

package switchgap.testbed.emulator;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.function.Consumer;
import switchgap.net.CloseCause;
import switchgap.net.HttpClientConnection;
import switchgap.net.HttpClientConnector;
import switchgap.net.NetworkTransport;

/**
 * Fetches functions from a {@link StoreService}. Each fetch in flight uses its own persistent
 * connection. Used only on the scheduler's thread.
 */
public final class StoreClient implements FunctionFetcher {
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
  private static final int MAX_BODY_BYTES = 1 << 20;
  private static final int STATUS_OK = 200;
  private final Scheduler scheduler;
  private final ConnectionPool connections;

  /** Creates a client of the store that listens on a port of the loopback address. */
  public StoreClient(Scheduler scheduler, NetworkTransport net, int port) {
    this.scheduler = scheduler;
    this.connections =
        new ConnectionPool(
            scheduler,
            new HttpClientConnector(net, null, MAX_BODY_BYTES),
            new InetSocketAddress("127.0.0.1", port),
            CONNECT_TIMEOUT);
  }

  @Override
  public void fetch(String worker, String function, long fetchMicros, Consumer<Boolean> callback) {
    String path = "/v1/functions/" + function + "?worker=" + worker + "&micros=" + fetchMicros;
    connections.acquire(
        connection -> send(connection, path, callback), () -> callback.accept(false));
  }

  private void send(HttpClientConnection connection, String path, Consumer<Boolean> callback) {
    boolean sent =
        connection.send(
            "GET",
            path,
            Map.of(),
            new byte[0],
            new HttpClientConnection.ResponseHandler() {
              @Override
              public void responded(
                  int status, Map<String, String> headers, byte[] body, boolean reusable) {
                scheduler.post(
                    () -> {
                      if (reusable) {
                        connections.release(connection);
                      }
                      callback.accept(status == STATUS_OK);
                    });
              }

              @Override
              public void connectionLost(CloseCause cause) {
                scheduler.post(() -> callback.accept(false));
              }
            });
    if (!sent) {
      callback.accept(false);
    }
  }
}

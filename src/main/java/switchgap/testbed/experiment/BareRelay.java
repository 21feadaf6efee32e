package switchgap.testbed.experiment;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.atomic.AtomicInteger;
import switchgap.net.CloseCause;
import switchgap.net.ConnectFailure;
import switchgap.net.HttpClientConnection;
import switchgap.net.HttpClientConnector;
import switchgap.net.HttpExchange;
import switchgap.net.HttpServer;
import switchgap.net.HttpServerLimits;
import switchgap.net.NetworkTransport;

/**
 * Baseline of the speed measurement: forwards requests to the workers round robin, through the same
 * filter chains as the router, but without admission control or a routing policy.
 */
final class BareRelay implements HttpServer.RequestHandler {
  private static final int MAX_BODY_BYTES = 4 << 20;
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
  private static final Map<String, String> JSON_HEADERS =
      Map.of("Content-Type", "application/json");
  private final HttpClientConnector connector;
  private final InetSocketAddress[] workerAddresses;
  private final ConcurrentLinkedDeque<HttpClientConnection>[] idleConnections;
  private final AtomicInteger nextWorker = new AtomicInteger();

  @SuppressWarnings("unchecked") // Java has no checked way to create an array of a generic type
  private BareRelay(NetworkTransport network, InetSocketAddress[] workerAddresses) {
    this.connector = new HttpClientConnector(network, null, MAX_BODY_BYTES);
    this.workerAddresses = workerAddresses;
    this.idleConnections = new ConcurrentLinkedDeque[workerAddresses.length];
    for (int i = 0; i < idleConnections.length; i++) {
      idleConnections[i] = new ConcurrentLinkedDeque<>();
    }
  }

  /** Starts listening on the loopback port; the server runs until the process ends. */
  static void serve(int port, InetSocketAddress[] workerAddresses, int selectors)
      throws IOException {
    NetworkTransport network = new NetworkTransport(selectors, "relay");
    new HttpServer(network, HttpServerLimits.DEFAULT, new BareRelay(network, workerAddresses))
        .listen("127.0.0.1", port);
  }

  @Override
  public void handle(HttpExchange exchange) {
    int workerIndex = Math.floorMod(nextWorker.getAndIncrement(), workerAddresses.length);
    HttpClientConnection idleConnection = idleConnections[workerIndex].poll();
    if (idleConnection != null && idleConnection.isUsable()) {
      forward(exchange, idleConnection, workerIndex);
      return;
    }
    connector.connect(
        workerAddresses[workerIndex],
        CONNECT_TIMEOUT,
        new HttpClientConnection.ConnectCallback() {
          @Override
          public void connected(HttpClientConnection connection) {
            forward(exchange, connection, workerIndex);
          }

          @Override
          public void failed(ConnectFailure failure) {
            exchange.drop();
          }
        });
  }

  private void forward(HttpExchange exchange, HttpClientConnection connection, int workerIndex) {
    boolean sent =
        connection.send(
            "POST",
            "/v2/models/f/infer",
            JSON_HEADERS,
            exchange.body(),
            new HttpClientConnection.ResponseHandler() {
              @Override
              public void responded(
                  int status, Map<String, String> headers, byte[] body, boolean reusable) {
                if (reusable) {
                  idleConnections[workerIndex].push(connection);
                }
                exchange.respond(status, JSON_HEADERS, body);
              }

              @Override
              public void connectionLost(CloseCause cause) {
                exchange.drop();
              }
            });
    if (!sent) {
      exchange.drop();
    }
  }
}

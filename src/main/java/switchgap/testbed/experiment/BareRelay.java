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
 * The baseline: forwards requests to the workers round robin, through the same filter chains,
 * without decisions.
 */
final class BareRelay implements HttpServer.RequestHandler {
  private static final int MAX_BODY_BYTES = 4 << 20;
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
  private static final Map<String, String> HEADERS = Map.of("Content-Type", "application/json");
  private final HttpClientConnector connector;
  private final InetSocketAddress[] workers;
  private final ConcurrentLinkedDeque<HttpClientConnection>[] idle;
  private final AtomicInteger nextWorker = new AtomicInteger();

  @SuppressWarnings("unchecked") // an array of a generic type can only be made unchecked
  private BareRelay(NetworkTransport net, InetSocketAddress[] workers) {
    this.connector = new HttpClientConnector(net, null, MAX_BODY_BYTES);
    this.workers = workers;
    this.idle = new ConcurrentLinkedDeque[workers.length];
    for (int i = 0; i < idle.length; i++) {
      idle[i] = new ConcurrentLinkedDeque<>();
    }
  }

  /** Listens at the port until the process ends. */
  static void serve(int port, InetSocketAddress[] workers, int selectors) throws IOException {
    NetworkTransport net = new NetworkTransport(selectors, "relay");
    new HttpServer(net, HttpServerLimits.DEFAULT, new BareRelay(net, workers))
        .listen("127.0.0.1", port);
  }

  @Override
  public void handle(HttpExchange exchange) {
    int workerIndex = Math.floorMod(nextWorker.getAndIncrement(), workers.length);
    HttpClientConnection idleConnection = idle[workerIndex].poll();
    if (idleConnection != null && idleConnection.isUsable()) {
      forward(exchange, idleConnection, workerIndex);
      return;
    }
    connector.connect(
        workers[workerIndex],
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
            HEADERS,
            exchange.body(),
            new HttpClientConnection.ResponseHandler() {
              @Override
              public void responded(
                  int status, Map<String, String> headers, byte[] body, boolean reusable) {
                if (reusable) {
                  idle[workerIndex].push(connection);
                }
                exchange.respond(status, HEADERS, body);
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

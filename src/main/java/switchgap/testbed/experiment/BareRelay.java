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
 * The baseline: forwards each request to one of the workers in turn, through the same filter
 * chains, without decisions.
 */
final class BareRelay implements HttpServer.RequestHandler {
  private final HttpClientConnector factory;
  private final InetSocketAddress[] workers;
  private final ConcurrentLinkedDeque<HttpClientConnection>[] idle;
  private final AtomicInteger turn = new AtomicInteger();

  @SuppressWarnings({"unchecked"})
  private BareRelay(NetworkTransport net, InetSocketAddress[] workers) {
    this.factory = new HttpClientConnector(net, null, 4 << 20);
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
    int workerIndex = Math.floorMod(turn.getAndIncrement(), workers.length);
    HttpClientConnection idleConnection = idle[workerIndex].poll();
    if (idleConnection != null && idleConnection.isUsable()) {
      pass(exchange, idleConnection, workerIndex);
      return;
    }
    factory.connect(
        workers[workerIndex],
        Duration.ofSeconds(1),
        new HttpClientConnection.ConnectCallback() {
          @Override
          public void connected(HttpClientConnection connection) {
            pass(exchange, connection, workerIndex);
          }

          @Override
          public void failed(ConnectFailure failure) {
            exchange.drop();
          }
        });
  }

  private void pass(HttpExchange exchange, HttpClientConnection connection, int workerIndex) {
    boolean sent =
        connection.send(
            "POST",
            "/v2/models/f/infer",
            Map.of("Content-Type", "application/json"),
            exchange.body(),
            new HttpClientConnection.ResponseHandler() {
              @Override
              public void responded(
                  int status, Map<String, String> headers, byte[] body, boolean reusable) {
                if (reusable) {
                  idle[workerIndex].push(connection);
                }
                exchange.respond(status, Map.of("Content-Type", "application/json"), body);
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

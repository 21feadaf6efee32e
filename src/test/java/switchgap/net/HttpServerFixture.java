package switchgap.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

/**
 * A fixture with an HTTP server with low limits, which records the exchanges that it receives. The
 * clients are plain sockets.
 */
abstract class HttpServerFixture {
  static final int MAX_BODY_BYTES = 100;
  static final int WAIT_TIMEOUT_SECONDS = 5;
  static final HttpServerLimits LIMITS =
      new HttpServerLimits(1024, MAX_BODY_BYTES, 2, Duration.ofSeconds(1), Duration.ofMillis(200));

  final BlockingQueue<HttpExchange> received = new LinkedBlockingQueue<>();
  final BlockingQueue<HttpExchange> disconnected = new LinkedBlockingQueue<>();
  private NetworkTransport transport;
  private HttpServer server;
  private int port;

  private final class QueueingHandler implements HttpServer.RequestHandler {
    @Override
    public void handle(HttpExchange exchange) {
      received.add(exchange);
    }

    @Override
    public void clientDisconnected(HttpExchange exchange) {
      disconnected.add(exchange);
    }
  }

  @BeforeEach
  void listen() throws Exception {
    transport = new NetworkTransport(1, "server");
    server = new HttpServer(transport, LIMITS, new QueueingHandler());
    port = server.listen("127.0.0.1", 0);
  }

  @AfterEach
  void close() {
    server.close();
    transport.close();
  }

  final Socket connect() throws IOException {
    Socket client = new Socket("127.0.0.1", port);
    client.setSoTimeout(WAIT_TIMEOUT_SECONDS * 1000);
    return client;
  }

  static void send(Socket client, String bytes) throws IOException {
    client.getOutputStream().write(bytes.getBytes(StandardCharsets.US_ASCII));
  }

  final HttpExchange nextExchange() throws InterruptedException {
    HttpExchange exchange = received.poll(WAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    assertThat(exchange).isNotNull();
    return exchange;
  }

  static String receive(Socket client, String end) throws IOException {
    StringBuilder bytes = new StringBuilder();
    while (bytes.indexOf(end) < 0) {
      int next = client.getInputStream().read();
      assertThat(next).as("next byte after " + bytes).isNotNegative();
      bytes.append((char) next);
    }
    return bytes.toString();
  }

  static void assertClosedByServer(Socket client) throws IOException {
    assertThat(client.getInputStream().read()).isEqualTo(-1);
  }

  static byte[] ascii(String text) {
    return text.getBytes(StandardCharsets.US_ASCII);
  }

  /**
   * Gives the server time to read the bytes that were sent, so that the next bytes arrive in a
   * separate read.
   */
  static void awaitSeparateRead() throws InterruptedException {
    Thread.sleep(20);
  }
}

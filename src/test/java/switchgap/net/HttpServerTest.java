package switchgap.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** What a server makes of the bytes that a client sends; the client is a plain socket. */
class HttpServerTest {
  private static final int MAX_BODY_BYTES = 100;
  private static final int WAIT_SECONDS = 5;
  private static final ConnectionLimits LIMITS =
      new ConnectionLimits(1024, MAX_BODY_BYTES, 2, Duration.ofSeconds(1), Duration.ofMillis(200));

  private final BlockingQueue<HttpExchange> received = new LinkedBlockingQueue<>();
  private final BlockingQueue<HttpExchange> left = new LinkedBlockingQueue<>();
  private NetworkTransport transport;
  private HttpServer server;
  private int port;

  private final class QueueingHandler implements HttpServer.RequestHandler {
    @Override
    public void handle(HttpExchange exchange) {
      received.add(exchange);
    }

    @Override
    public void clientLeft(HttpExchange exchange) {
      left.add(exchange);
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

  private Socket connect() throws IOException {
    Socket client = new Socket("127.0.0.1", port);
    client.setSoTimeout(WAIT_SECONDS * 1000);
    return client;
  }

  private static void send(Socket client, String bytes) throws IOException {
    client.getOutputStream().write(bytes.getBytes(StandardCharsets.US_ASCII));
  }

  private HttpExchange nextExchange() throws InterruptedException {
    HttpExchange exchange = received.poll(WAIT_SECONDS, TimeUnit.SECONDS);
    assertThat(exchange).isNotNull();
    return exchange;
  }

  private static String receive(Socket client, String end) throws IOException {
    StringBuilder bytes = new StringBuilder();
    while (bytes.indexOf(end) < 0) {
      int next = client.getInputStream().read();
      assertThat(next).as("after " + bytes).isNotNegative();
      bytes.append((char) next);
    }
    return bytes.toString();
  }

  private static void assertEnds(Socket client) throws IOException {
    assertThat(client.getInputStream().read()).isEqualTo(-1);
  }

  private static byte[] ascii(String text) {
    return text.getBytes(StandardCharsets.US_ASCII);
  }

  @Test
  void aRequestIsHandedOverWholeAndAnsweredOnce() throws Exception {
    try (Socket client = connect()) {
      for (int i = 0; i < 2; i++) {
        send(
            client,
            "POST /a/b?c=d&ef=g HTTP/1.1\r\nHost: x\r\nX-Name: value\r\n"
                + "Content-Length: 6\r\n\r\nabc");
        Thread.sleep(20);
        send(client, "def");
        HttpExchange exchange = nextExchange();
        assertThat(exchange.method() + " " + exchange.path() + " " + exchange.query())
            .isEqualTo("POST /a/b c=d&ef=g");
        assertThat(exchange.queryParameter("ef")).isEqualTo("g");
        assertThat(exchange.queryParameter("f")).isNull();
        assertThat(exchange.header("x-name")).isEqualTo("value");
        assertThat(exchange.body()).isEqualTo(ascii("abcdef"));
        assertThat(exchange.peerAddress()).isEqualTo("127.0.0.1");
        assertThat(exchange.connectionId()).isEqualTo("127.0.0.1:" + client.getLocalPort());
        assertThat(
                exchange.respond(
                    201, Map.of("Content-Type", "text/x", "X-Part", "One"), ascii("hello")))
            .isTrue();
        assertThat(exchange.respond(200, Map.of(), ascii("again"))).isFalse();
        assertThat(exchange.beginStreaming(200, Map.of())).isFalse();
        String response = receive(client, "hello");
        assertThat(response).startsWith("HTTP/1.1 201 ");
        assertThat(response.toLowerCase(Locale.ROOT))
            .contains("content-type: text/x", "x-part: one\r\n", "content-length: 5\r\n");
      }
    }
    assertThat(left).isEmpty();
  }

  @Test
  void aChunkedBodyIsGathered() throws Exception {
    try (Socket client = connect()) {
      send(client, "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
      Thread.sleep(20);
      send(client, "5\r\ndefgh\r\n0\r\n\r\n");
      assertThat(nextExchange().body()).isEqualTo(ascii("abcdefgh"));
    }
  }

  @Test
  void aBodyBeyondTheBoundIsRejectedAtItsFirstSign() throws Exception {
    try (Socket client = connect()) {
      send(client, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 101\r\n\r\n");
      String response = receive(client, "}");
      assertThat(response).startsWith("HTTP/1.1 413 ");
      assertThat(response)
          .endsWith(
              "\r\n\r\n"
                  + "{\"title\":\"refused\",\"status\":413,\"detail\":\"body larger than 100"
                  + " bytes\"}");
      assertEnds(client);
    }
    assertThat(received).isEmpty();
  }

  @Test
  void aChunkedBodyBeyondTheBoundIsRejected() throws Exception {
    try (Socket client = connect()) {
      send(client, "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n");
      for (int i = 0; i < 3; i++) {
        send(client, "28\r\n" + "x".repeat(40) + "\r\n");
        Thread.sleep(20);
      }
      assertThat(receive(client, "}")).startsWith("HTTP/1.1 413 ");
    }
    assertThat(received).isEmpty();
  }

  @Test
  void anOfferToUpgradeIsAnsweredPlainlyAndEndsTheConnection() throws Exception {
    try (Socket client = connect()) {
      send(client, "GET / HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n");
      assertThat(nextExchange().respond(200, Map.of(), ascii("plain"))).isTrue();
      assertThat(receive(client, "plain")).startsWith("HTTP/1.1 200 ");
      assertEnds(client);
    }
  }

  @Test
  void aFurtherRequestBeforeTheResponseEndsTheConnection() throws Exception {
    try (Socket client = connect()) {
      send(client, "GET /1 HTTP/1.1\r\nHost: x\r\n\r\n");
      HttpExchange exchange = nextExchange();
      send(client, "GET /2 HTTP/1.1\r\nHost: x\r\n\r\n");
      assertEnds(client);
      assertThat(left.poll(WAIT_SECONDS, TimeUnit.SECONDS)).isSameAs(exchange);
    }
    assertThat(received).isEmpty();
  }

  @Test
  void aClientThatLeavesBeforeTheResponseIsReported() throws Exception {
    HttpExchange exchange;
    try (Socket client = connect()) {
      send(client, "GET / HTTP/1.1\r\nHost: x\r\n\r\n");
      exchange = nextExchange();
    }
    assertThat(left.poll(WAIT_SECONDS, TimeUnit.SECONDS)).isSameAs(exchange);
    assertThat(exchange.isOpen()).isFalse();
  }

  @Test
  void aClientThatLeavesAStreamIsReported() throws Exception {
    HttpExchange exchange;
    try (Socket client = connect()) {
      send(client, "GET / HTTP/1.1\r\nHost: x\r\n\r\n");
      exchange = nextExchange();
      assertThat(exchange.beginStreaming(200, Map.of("Content-Type", "text/x"))).isTrue();
      exchange.sendPart(ascii("one"));
      assertThat(receive(client, "one").toLowerCase(Locale.ROOT))
          .contains("transfer-encoding: chunked\r\n");
      exchange.sendPart(ascii("two"));
      receive(client, "two");
    }
    assertThat(left.poll(WAIT_SECONDS, TimeUnit.SECONDS)).isSameAs(exchange);
  }

  @Test
  void aDroppedExchangeEndsItsConnectionWithoutAResponse() throws Exception {
    try (Socket client = connect()) {
      send(client, "GET / HTTP/1.1\r\nHost: x\r\n\r\n");
      HttpExchange exchange = nextExchange();
      exchange.drop();
      assertEnds(client);
      assertThat(exchange.respond(200, Map.of(), ascii("late"))).isFalse();
    }
  }

  @Test
  void rawBytesGoOutAsTheyAre() throws Exception {
    try (Socket client = connect()) {
      send(client, "GET / HTTP/1.1\r\nHost: x\r\n\r\n");
      HttpExchange exchange = nextExchange();
      exchange.sendRaw(ascii("no "), false);
      exchange.sendRaw(ascii("http"), true);
      assertThat(receive(client, "http")).isEqualTo("no http");
      assertEnds(client);
    }
  }

  @Test
  void connectionsBeyondTheBoundEndAtOnce() throws Exception {
    try (Socket first = connect();
        Socket second = connect()) {
      for (Socket client : new Socket[] {first, second}) {
        send(client, "GET / HTTP/1.1\r\nHost: x\r\n\r\n");
        nextExchange();
      }
      try (Socket third = connect()) {
        assertEnds(third);
      }
      assertThat(first.isClosed()).isFalse();
    }
  }

  @Test
  void aConnectionWithoutAWholeRequestEndsAfterItsTimeout() throws Exception {
    try (Socket partial = connect();
        Socket silent = connect()) {
      long startedNanos = System.nanoTime();
      send(partial, "GET / HTTP/1.1\r\nHos");
      assertEnds(partial);
      assertThat(System.nanoTime() - startedNanos)
          .as("receive timeout")
          .isGreaterThan(LIMITS.receiveTimeout().toNanos());
      assertEnds(silent);
      assertThat(System.nanoTime() - startedNanos)
          .as("idle timeout")
          .isGreaterThan(LIMITS.idleTimeout().minusMillis(100).toNanos());
    }
    assertThat(received).isEmpty();
  }

  @Test
  void aConnectionThatStaysIdleAfterARequestEndsAfterItsTimeout() throws Exception {
    try (Socket client = connect()) {
      send(client, "GET / HTTP/1.1\r\nHost: x\r\n\r\n");
      nextExchange().respond(200, Map.of(), ascii("x"));
      long startedNanos = System.nanoTime();
      receive(client, "\r\n\r\nx");
      assertEnds(client);
      assertThat(System.nanoTime() - startedNanos)
          .isGreaterThan(LIMITS.idleTimeout().minusMillis(100).toNanos());
    }
  }
}

package switchgap.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.Socket;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Requests, responses and disconnects, tested with plain sockets as clients. */
class HttpServerTest extends HttpServerFixture {
  @Test
  void passesCompleteRequestAndSendsOneResponse() throws Exception {
    try (Socket client = connect()) {
      for (int i = 0; i < 2; i++) {
        send(
            client,
            "POST /a/b?c=d&ef=g HTTP/1.1\r\nHost: x\r\nX-Name: value\r\n"
                + "Content-Length: 6\r\n\r\nabc");
        awaitSeparateRead();
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
    assertThat(disconnected).isEmpty();
  }

  @Test
  void collectsChunkedBody() throws Exception {
    try (Socket client = connect()) {
      send(client, "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
      awaitSeparateRead();
      send(client, "5\r\ndefgh\r\n0\r\n\r\n");
      assertThat(nextExchange().body()).isEqualTo(ascii("abcdefgh"));
    }
  }

  @Test
  void handlesUpgradeOfferAsPlainRequestAndKeepsConnection() throws Exception {
    try (Socket client = connect()) {
      for (int i = 0; i < 2; i++) {
        send(client, "GET / HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n");
        assertThat(nextExchange().respond(200, Map.of(), ascii("plain"))).isTrue();
        assertThat(receive(client, "\r\n\r\nplain")).startsWith("HTTP/1.1 200 ");
      }
    }
  }

  @Test
  void closesConnectionOnPipelinedRequest() throws Exception {
    try (Socket client = connect()) {
      send(client, "GET /1 HTTP/1.1\r\nHost: x\r\n\r\n");
      HttpExchange exchange = nextExchange();
      send(client, "GET /2 HTTP/1.1\r\nHost: x\r\n\r\n");
      assertClosedByServer(client);
      assertThat(disconnected.poll(WAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)).isSameAs(exchange);
    }
    assertThat(received).isEmpty();
  }

  @Test
  void reportsClientThatDisconnectsBeforeResponse() throws Exception {
    HttpExchange exchange;
    try (Socket client = connect()) {
      send(client, "GET / HTTP/1.1\r\nHost: x\r\n\r\n");
      exchange = nextExchange();
    }
    assertThat(disconnected.poll(WAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)).isSameAs(exchange);
    assertThat(exchange.isOpen()).isFalse();
  }

  @Test
  void reportsClientThatDisconnectsFromStream() throws Exception {
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
    assertThat(disconnected.poll(WAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)).isSameAs(exchange);
  }

  @Test
  void closesConnectionWithoutResponseWhenExchangeIsDropped() throws Exception {
    try (Socket client = connect()) {
      send(client, "GET / HTTP/1.1\r\nHost: x\r\n\r\n");
      HttpExchange exchange = nextExchange();
      exchange.drop();
      assertClosedByServer(client);
      assertThat(exchange.respond(200, Map.of(), ascii("late"))).isFalse();
    }
  }

  @Test
  void sendsRawBytesUnchanged() throws Exception {
    try (Socket client = connect()) {
      send(client, "GET / HTTP/1.1\r\nHost: x\r\n\r\n");
      HttpExchange exchange = nextExchange();
      exchange.sendRaw(ascii("no "), false);
      exchange.sendRaw(ascii("http"), true);
      assertThat(receive(client, "http")).isEqualTo("no http");
      assertClosedByServer(client);
    }
  }
}

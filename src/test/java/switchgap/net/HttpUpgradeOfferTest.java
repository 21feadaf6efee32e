package switchgap.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.Socket;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Guards against an upgrade offer that changes how its request is read or answered: the response
 * then lacks headers, and the connection closes without notice under the client's next request.
 */
class HttpUpgradeOfferTest extends HttpServerFixture {
  private static final List<String> PROTOCOLS = List.of("h2c", "websocket");

  private static String offer(String protocol) {
    return "Host: x\r\nConnection: Upgrade\r\nUpgrade: " + protocol + "\r\n";
  }

  /** Responds to the next request and returns the head of the response as the client sees it. */
  private String respondToNext(Socket client) throws Exception {
    nextExchange().respond(404, Map.of("Content-Type", "application/problem+json"), ascii("no"));
    String response = receive(client, "\r\n\r\n");
    assertThat(receive(client, "no")).isEqualTo("no");
    return response.toLowerCase(Locale.ROOT).replaceAll("date: [^\r]*", "date: ");
  }

  @Test
  void responseHasTheHeadersOfAPlainResponse() throws Exception {
    try (Socket client = connect()) {
      send(client, "GET / HTTP/1.1\r\nHost: x\r\n\r\n");
      String plain = respondToNext(client);
      assertThat(plain).contains("content-type: application/problem+json", "date: ");
      for (String protocol : PROTOCOLS) {
        send(client, "GET / HTTP/1.1\r\n" + offer(protocol) + "\r\n");
        assertThat(respondToNext(client)).as(protocol).isEqualTo(plain);
      }
    }
  }

  @Test
  void connectionCarriesFurtherRequests() throws Exception {
    for (String protocol : PROTOCOLS) {
      try (Socket client = connect()) {
        for (int i = 0; i < 3; i++) {
          send(client, "GET /" + i + " HTTP/1.1\r\n" + offer(protocol) + "\r\n");
          HttpExchange exchange = nextExchange();
          assertThat(exchange.path()).isEqualTo("/" + i);
          exchange.respond(200, Map.of(), ascii("done"));
          receive(client, "done");
        }
      }
    }
  }

  @Test
  void announcesTheCloseThatTheClientAskedFor() throws Exception {
    try (Socket client = connect()) {
      send(client, "GET / HTTP/1.1\r\nHost: x\r\nUpgrade: h2c\r\nConnection: close\r\n\r\n");
      assertThat(respondToNext(client)).contains("connection: close\r\n");
      assertClosedByServer(client);
    }
  }

  @Test
  void bodyIsReadAsThatOfAPlainRequest() throws Exception {
    try (Socket client = connect()) {
      send(client, "POST / HTTP/1.1\r\n" + offer("h2c") + "Content-Length: 6\r\n\r\nabc");
      awaitSeparateRead();
      send(client, "def");
      HttpExchange exchange = nextExchange();
      assertThat(exchange.body()).isEqualTo(ascii("abcdef"));
      exchange.respond(200, Map.of(), ascii("done"));
      receive(client, "done");
      send(client, "POST / HTTP/1.1\r\n" + offer("h2c") + "Transfer-Encoding: chunked\r\n\r\n");
      awaitSeparateRead();
      send(client, "3\r\nabc\r\n0\r\n\r\n");
      assertThat(nextExchange().body()).isEqualTo(ascii("abc"));
    }
  }
}

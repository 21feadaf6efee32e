package switchgap.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.Socket;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Guards against clients that wait a second before each large body, as no response asks for it. */
class HttpExpectationTest extends HttpServerFixture {
  private static final String CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n";
  private static final String EXPECTATION = "Host: x\r\nExpect: 100-continue\r\n";

  @Test
  void sendsContinueToAClientThatExpectsIt() throws Exception {
    for (String length : List.of("Content-Length: 3", "Transfer-Encoding: chunked")) {
      try (Socket client = connect()) {
        send(client, "POST / HTTP/1.1\r\n" + EXPECTATION + length + "\r\n\r\n");
        assertThat(receive(client, "\r\n\r\n")).as(length).isEqualTo(CONTINUE);
        send(client, length.startsWith("Content") ? "abc" : "3\r\nabc\r\n0\r\n\r\n");
        HttpExchange exchange = nextExchange();
        assertThat(exchange.body()).isEqualTo(ascii("abc"));
        exchange.respond(200, Map.of(), ascii("done"));
        assertThat(receive(client, "done")).startsWith("HTTP/1.1 200 ");
      }
    }
  }

  @Test
  void sendsContinueOnceAndNotWithoutNeed() throws Exception {
    try (Socket client = connect()) {
      send(client, "POST / HTTP/1.1\r\n" + EXPECTATION + "Content-Length: 3\r\n\r\nabc");
      nextExchange().respond(200, Map.of(), ascii("one"));
      assertThat(receive(client, "one")).startsWith("HTTP/1.1 200 ");
      send(client, "POST / HTTP/1.1\r\n" + EXPECTATION + "Content-Length: 3\r\n\r\n");
      assertThat(receive(client, "\r\n\r\n")).isEqualTo(CONTINUE);
      send(client, "a");
      awaitSeparateRead();
      send(client, "bc");
      nextExchange().respond(200, Map.of(), ascii("two"));
      assertThat(receive(client, "two")).startsWith("HTTP/1.1 200 ");
    }
  }

  @Test
  void rejectsAnExpectedBodyThatIsTooLargeInsteadOfContinuing() throws Exception {
    try (Socket client = connect()) {
      send(client, "POST / HTTP/1.1\r\n" + EXPECTATION + "Content-Length: 101\r\n\r\n");
      assertThat(receive(client, "}")).startsWith("HTTP/1.1 413 ");
      assertClosedByServer(client);
    }
  }
}

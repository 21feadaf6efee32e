package switchgap.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.Socket;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Guards against clients that wait for a timeout, because bytes that are no request get no reply.
 */
class HttpRequestHeadTest extends HttpServerFixture {
  /** Heads whose first line has no method, or none that ends on this line. */
  private static final List<String> MALFORMED_HEADS =
      List.of("GARBAGE\r\n\r\n", "GARBAGE\r\nHost: x\r\n\r\n", "\u0001\u0002 / HTTP/1.1\r\n\r\n");

  @Test
  void answersAMalformedHeadAtOnceAndCloses() throws Exception {
    for (String head : MALFORMED_HEADS) {
      try (Socket client = connect()) {
        long startNanos = System.nanoTime();
        send(client, head);
        String response = receive(client, "\r\n\r\n");
        assertThat(response).as(head).startsWith("HTTP/1.1 400 ");
        assertThat(response).containsIgnoringCase("connection: close\r\n");
        assertThat(Duration.ofNanos(System.nanoTime() - startNanos))
            .isLessThan(LIMITS.receiveTimeout());
        assertClosedByServer(client);
      }
    }
    assertThat(received).isEmpty();
  }

  @Test
  void acceptsAMethodThatArrivesInPiecesAndEmptyLinesBeforeIt() throws Exception {
    try (Socket client = connect()) {
      send(client, "\r\nGE");
      awaitSeparateRead();
      send(client, "T / HTTP/1.1\r\nHost: x\r\n\r\n");
      HttpExchange exchange = nextExchange();
      assertThat(exchange.method()).isEqualTo("GET");
      exchange.respond(200, Map.of(), ascii("done"));
      receive(client, "done");
    }
  }
}

package switchgap.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.Socket;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** The limits on body sizes, connections and the duration of a request. */
class HttpServerLimitsTest extends HttpServerFixture {
  @Test
  void rejectsBodyWhenContentLengthExceedsLimit() throws Exception {
    try (Socket client = connect()) {
      send(client, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 101\r\n\r\n");
      String response = receive(client, "}");
      assertThat(response).startsWith("HTTP/1.1 413 ");
      assertThat(response)
          .endsWith(
              "\r\n\r\n"
                  + "{\"title\":\"refused\",\"status\":413,\"detail\":\"body larger than 100"
                  + " bytes\"}");
      assertClosedByServer(client);
    }
    assertThat(received).isEmpty();
  }

  @Test
  void rejectsChunkedBodyThatExceedsLimit() throws Exception {
    try (Socket client = connect()) {
      send(client, "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n");
      for (int i = 0; i < 3; i++) {
        send(client, "28\r\n" + "x".repeat(40) + "\r\n");
        awaitSeparateRead();
      }
      assertThat(receive(client, "}")).startsWith("HTTP/1.1 413 ");
    }
    assertThat(received).isEmpty();
  }

  @Test
  void closesConnectionsBeyondLimitImmediately() throws Exception {
    try (Socket first = connect();
        Socket second = connect()) {
      for (Socket client : new Socket[] {first, second}) {
        send(client, "GET / HTTP/1.1\r\nHost: x\r\n\r\n");
        nextExchange();
      }
      try (Socket third = connect()) {
        assertClosedByServer(third);
      }
      assertThat(first.isClosed()).isFalse();
    }
  }

  @Test
  void closesConnectionWithoutCompleteRequestAfterItsTimeout() throws Exception {
    try (Socket partial = connect();
        Socket silent = connect()) {
      long startedNanos = System.nanoTime();
      send(partial, "GET / HTTP/1.1\r\nHos");
      assertClosedByServer(partial);
      assertThat(System.nanoTime() - startedNanos)
          .as("time until the close of a partial request, after the receive timeout")
          .isGreaterThan(LIMITS.receiveTimeout().toNanos());
      assertClosedByServer(silent);
      assertThat(System.nanoTime() - startedNanos)
          .as("time until the close of a silent connection, after the idle timeout")
          .isGreaterThan(LIMITS.idleTimeout().minusMillis(100).toNanos());
    }
    assertThat(received).isEmpty();
  }

  @Test
  void closesIdleConnectionAfterItsTimeout() throws Exception {
    try (Socket client = connect()) {
      send(client, "GET / HTTP/1.1\r\nHost: x\r\n\r\n");
      nextExchange().respond(200, Map.of(), ascii("x"));
      long startedNanos = System.nanoTime();
      receive(client, "\r\n\r\nx");
      assertClosedByServer(client);
      assertThat(System.nanoTime() - startedNanos)
          .isGreaterThan(LIMITS.idleTimeout().minusMillis(100).toNanos());
    }
  }
}

package switchgap.server.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static switchgap.server.gateway.GatewayFixture.IDEMPOTENT;
import static switchgap.server.gateway.GatewayFixture.NON_IDEMPOTENT;
import static switchgap.server.gateway.GatewayFixture.SUCCEEDED;
import static switchgap.server.gateway.GatewayFixture.outcomeOf;
import static switchgap.testing.BoundedWait.until;

import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Checks connections of clients and planners that are slow, silent, too many or send too much. */
class ClientConnectionsTest {
  private static void write(Socket client, String text) throws IOException {
    OutputStream out = client.getOutputStream();
    out.write(text.getBytes(StandardCharsets.US_ASCII));
    out.flush();
  }

  /** Sends text and returns all that the router sends until it closes; empty if that fails. */
  private static String exchangeRaw(GatewayFixture fixture, String request) {
    try (Socket client = fixture.connect()) {
      client.setSoTimeout(1500);
      write(client, request);
      return new String(client.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
    } catch (IOException e) {
      return "";
    }
  }

  private static boolean isClosedByRouter(Socket client) {
    try {
      client.setSoTimeout(1);
      return client.getInputStream().read() < 0;
    } catch (SocketTimeoutException e) {
      return false;
    } catch (SocketException e) {
      return true;
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static List<Socket> connect(GatewayFixture fixture, int count) throws IOException {
    List<Socket> clients = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      clients.add(fixture.connect());
    }
    return clients;
  }

  @Test
  void rejectsOversizedSlowAndExcessConnectionsWithoutAffectingOthers() throws Exception {
    try (HttpTestServer worker = new HttpTestServer(HttpTestServer::echo);
        GatewayFixture fixture =
            GatewayFixture.builder()
                .sections(
                    "listen: {port: 0, body_bytes: 1000, header_bytes: 2048, connections: 4,"
                        + " arrival: 300ms}\n")
                .workers(worker)
                .start()) {
      assertThat(fixture.invoke(IDEMPOTENT, "x".repeat(2000)).statusCode()).isEqualTo(413);
      String oversizedHeader =
          "POST /v1/functions/again-1/invoke HTTP/1.1\r\nHost: x\r\nX: %s\r\n\r\n"
              .formatted("y".repeat(4000));
      assertThat(exchangeRaw(fixture, oversizedHeader)).doesNotContain("200 OK");
      assertThat(exchangeRaw(fixture, "not http at all\r\n\r\n")).doesNotContain("200 OK");

      assertSlowRequestIsClosedAtItsTimeout(fixture);

      List<Socket> clients = connect(fixture, 8);
      // This must be over well before the arrival timeout of 300 ms, at which the router closes the
      // other connections as well.
      until(
          Duration.ofMillis(200),
          () -> clients.stream().filter(ClientConnectionsTest::isClosedByRouter).count() >= 4);
      for (Socket client : clients) {
        client.close();
      }
      until(
          Duration.ofMillis(100),
          () -> fixture.invokeForOutcomeAsync(IDEMPOTENT, "1").join().equals(SUCCEEDED));
    }
  }

  private static void assertSlowRequestIsClosedAtItsTimeout(GatewayFixture fixture)
      throws IOException {
    long startNanos = System.nanoTime();
    try (Socket client = fixture.connect()) {
      write(
          client,
          "POST /v1/functions/again-1/invoke HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n{");
      client.setSoTimeout(3000);
      assertThat(client.getInputStream().read()).isEqualTo(-1);
    }
    assertThat((System.nanoTime() - startNanos) / 1_000_000).isBetween(200L, 2500L);
  }

  /**
   * Guards against a client that occupies a connection slot forever by sending a part of a
   * request's head, or nothing at all, and then staying silent.
   */
  @Test
  void aConnectionWithoutACompleteRequestIsClosed() throws Exception {
    List<List<String>> partialRequests =
        List.of(
            List.of("POST /v1/functions/once-1/inv"),
            List.of(""),
            List.of("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n", "GET /heal"));
    try (HttpTestServer worker = new HttpTestServer(HttpTestServer::echo);
        GatewayFixture fixture =
            GatewayFixture.builder()
                .sections("listen: {port: 0, arrival: 300ms, idle: 1s, connections: 3}\n")
                .workers(worker)
                .start()) {
      List<Socket> clients = new ArrayList<>();
      for (List<String> parts : partialRequests) {
        Socket client = fixture.connect();
        client.setSoTimeout(3000);
        clients.add(client);
        for (String part : parts) {
          write(client, part);
          Thread.sleep(60);
        }
      }
      try (Socket excess = fixture.connect()) {
        // The three clients occupy all connections, so this one is closed.
        assertThat(excess.getInputStream().read()).isEqualTo(-1);
      }
      for (Socket client : clients) {
        // Reads the response to a complete request, if there is one, until the router closes.
        while (client.getInputStream().read() >= 0) {}
        client.close();
      }
      assertThat(outcomeOf(fixture.invoke(NON_IDEMPOTENT, "1"))).isEqualTo(SUCCEEDED);
    }
  }

  @Test
  void aSilentConnectionAtThePlannerPortIsClosed() throws Exception {
    try (HttpTestServer worker = new HttpTestServer(HttpTestServer::echo);
        GatewayFixture fixture =
            GatewayFixture.builder()
                .sections("planner: {port: 0}\nworkers: {orders: true}\n")
                .workers(worker)
                .start();
        Socket client = new Socket("127.0.0.1", fixture.router().plannerPort())) {
      client.setSoTimeout(5000);
      assertThat(client.getInputStream().read()).isEqualTo(-1);
    }
  }

  @Test
  void aClientThatDisconnectsAtAnyTimeLeavesNoPendingRequest() throws Exception {
    try (HttpTestServer worker =
            new HttpTestServer(
                (request, out) -> {
                  Thread.sleep(100);
                  return HttpTestServer.echo(request, out);
                });
        GatewayFixture fixture = GatewayFixture.start(worker)) {
      for (int millisUntilDisconnect : new int[] {0, 1, 20, 50, 100, 105}) {
        try (Socket client = fixture.connect()) {
          write(
              client,
              "POST /v1/functions/once-1/invoke HTTP/1.1\r\n"
                  + "Host: x\r\nContent-Length: 2\r\n\r\n{}");
          Thread.sleep(millisUntilDisconnect);
        }
      }
      until(() -> fixture.router().pendingRequests() == 0);
      assertThat(outcomeOf(fixture.invoke(NON_IDEMPOTENT, "{}"))).isEqualTo(SUCCEEDED);
    }
  }
}

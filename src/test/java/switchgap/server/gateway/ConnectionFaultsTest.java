package switchgap.server.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static switchgap.server.gateway.GatewayFixture.FAILED;
import static switchgap.server.gateway.GatewayFixture.IDEMPOTENT;
import static switchgap.server.gateway.GatewayFixture.NON_IDEMPOTENT;
import static switchgap.server.gateway.GatewayFixture.SUCCEEDED;
import static switchgap.server.gateway.GatewayFixture.outcomeOf;
import static switchgap.testing.BoundedWait.until;

import java.io.IOException;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** Checks connections to workers that are half open, or closed while idle, busy or loading. */
class ConnectionFaultsTest {
  private static final String NOT_EXECUTED =
      "endpoint-load-metrics: TEXT named_metrics.executed=0\r\n";

  private static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.US_ASCII));
    out.flush();
  }

  /** The worker sends two interim responses (1xx), one in two parts, before the final response. */
  @Test
  void interimResponsesAreIgnored() throws Exception {
    HttpTestServer.Responder interimFirst =
        (request, out) -> {
          write(out, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 10");
          Thread.sleep(30);
          write(out, "2 Processing\r\nX: y\r\n\r\n");
          return HttpTestServer.echo(request, out);
        };
    try (HttpTestServer worker = new HttpTestServer(interimFirst);
        GatewayFixture fixture = GatewayFixture.start(worker)) {
      for (int i = 0; i < 3; i++) {
        HttpResponse<String> response = fixture.invoke(NON_IDEMPOTENT, "\"n" + i + "\"");
        assertThat(outcomeOf(response)).isEqualTo(SUCCEEDED);
        assertThat(response.body()).isEqualTo("{\"echo\":\"n" + i + "\"}");
      }
      assertThat(worker.inferenceRequestCount()).isEqualTo(3);
    }
  }

  /** Responds after 64 bytes of a request and closes the connection with bytes unread. */
  private static void respondEarly(ServerSocket listener) {
    try {
      while (true) {
        try (Socket client = listener.accept()) {
          client.getInputStream().readNBytes(64);
          write(
              client.getOutputStream(),
              "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}");
          Thread.sleep(20);
        }
      }
    } catch (IOException | InterruptedException e) {
      // The test has ended and closed the listener.
    }
  }

  @Test
  void aResponseBeforeTheRequestWasReadIsFinalAndTheNextRequestIsUnaffected() throws Exception {
    try (ServerSocket listener = new ServerSocket(0)) {
      Thread thread = new Thread(() -> respondEarly(listener));
      thread.setDaemon(true);
      thread.start();
      String sections =
          """
          listen: {port: 0, body_bytes: 8000000}
          list:
            workers:
              - {name: w, port: %d}
          """
              .formatted(listener.getLocalPort());
      try (GatewayFixture fixture = GatewayFixture.builder().sections(sections).start()) {
        String largeBody = "\"" + "x".repeat(4_000_000) + "\"";
        // The router sees either the response or the broken connection first; both are correct.
        for (int i = 0; i < 3; i++) {
          assertThat(outcomeOf(fixture.invoke(NON_IDEMPOTENT, largeBody))).isIn(SUCCEEDED, FAILED);
        }
        until(() -> fixture.router().pendingRequests() == 0);
      }
    }
  }

  @Test
  void onlyAnIdempotentRequestIsRetriedAfterACloseBetweenHeadAndBody() throws Exception {
    AtomicInteger requests = new AtomicInteger();
    HttpTestServer.Responder closeAfterFirstHead =
        (request, out) -> {
          if (!request.isInference() || requests.incrementAndGet() > 1) {
            return HttpTestServer.echo(request, out);
          }
          write(out, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n");
          return false;
        };
    try (HttpTestServer worker = new HttpTestServer(closeAfterFirstHead);
        HttpTestServer otherWorker = new HttpTestServer(closeAfterFirstHead);
        GatewayFixture fixture = GatewayFixture.start(worker, otherWorker)) {
      assertThat(outcomeOf(fixture.invoke(NON_IDEMPOTENT, "1"))).isEqualTo(FAILED);
      assertThat(worker.inferenceRequestCount() + otherWorker.inferenceRequestCount()).isEqualTo(1);

      requests.set(0);
      assertThat(outcomeOf(fixture.invoke(IDEMPOTENT, "1"))).isEqualTo(SUCCEEDED);
      assertThat(worker.inferenceRequestCount() + otherWorker.inferenceRequestCount()).isEqualTo(3);
    }
  }

  /**
   * The worker closes idle connections. The router must notice before it writes and send a
   * non-idempotent request on a new connection.
   */
  @Test
  void anIdleConnectionThatTheWorkerClosedIsNotReused() throws Exception {
    try (HttpTestServer worker = new HttpTestServer(HttpTestServer::echo);
        GatewayFixture fixture = GatewayFixture.start(worker)) {
      for (int i = 0; i < 5; i++) {
        assertThat(outcomeOf(fixture.invoke(NON_IDEMPOTENT, "1"))).isEqualTo(SUCCEEDED);
        worker.closeConnections();
        // The test can't observe when the router has noticed the close.
        Thread.sleep(60);
      }
      assertThat(worker.inferenceRequestCount()).isEqualTo(5);
    }
  }

  /**
   * Guards against a loop of load commands to a worker that closes the connection during each load.
   */
  @Test
  void aCloseDuringALoadEndsTheCommandAndTheLoadMovesToAnotherWorker() throws Exception {
    LoadableWorker failingLoader = new LoadableWorker(false);
    LoadableWorker healthyLoader = new LoadableWorker(true);
    try (HttpTestServer worker = new HttpTestServer(failingLoader);
        HttpTestServer otherWorker = new HttpTestServer(healthyLoader);
        GatewayFixture fixture =
            GatewayFixture.builder()
                .sections("workers: {miss: answers, orders: true}\n")
                .workers(worker, otherWorker)
                .start()) {
      for (int i = 0; i < 4; i++) {
        // Several functions, since each prefers one of the two workers.
        String function = "once-" + i;
        until(() -> outcomeOf(fixture.invokeAsync(function, "1").join()).equals(SUCCEEDED));
      }
      assertThat(failingLoader.loadCount()).isLessThanOrEqualTo(8);
      assertThat(fixture.router().pendingRequests()).isZero();
    }
  }

  /**
   * Loads functions on command. If it is not healthy, it closes the connection instead of
   * responding to the load command, and responds to inference requests that the function is not
   * loaded.
   */
  private static final class LoadableWorker implements HttpTestServer.Responder {
    private static final long LOAD_MILLIS = 50;

    private final boolean healthy;
    private final AtomicInteger loads = new AtomicInteger();
    private final Set<String> loadedFunctions = ConcurrentHashMap.newKeySet();

    LoadableWorker(boolean healthy) {
      this.healthy = healthy;
    }

    int loadCount() {
      return loads.get();
    }

    @Override
    public boolean respond(HttpTestServer.ReceivedRequest request, OutputStream out)
        throws IOException, InterruptedException {
      String function = request.line().replaceAll(".*/models/([a-z0-9-]+)/.*", "$1");
      if (request.line().contains("/load")) {
        loads.incrementAndGet();
        Thread.sleep(LOAD_MILLIS);
        loadedFunctions.add(function);
        return healthy && HttpTestServer.echo(request, out);
      }
      if (!request.isInference() || (healthy && loadedFunctions.contains(function))) {
        return HttpTestServer.echo(request, out);
      }
      out.write(HttpTestServer.response(404, NOT_EXECUTED, "{}"));
      return true;
    }
  }

  /**
   * Guards against a half-open worker that keeps getting requests: it accepts connections and reads
   * requests but never responds, and stays in the endpoint list.
   */
  @Test
  void aWorkerThatNeverRespondsGetsFewRequests() throws Exception {
    try (HttpTestServer silentWorker = new HttpTestServer(HttpTestServer::silent);
        HttpTestServer worker = new HttpTestServer(HttpTestServer::echo);
        HttpTestServer otherWorker = new HttpTestServer(HttpTestServer::echo);
        HttpTestServer thirdWorker = new HttpTestServer(HttpTestServer::echo);
        GatewayFixture fixture =
            GatewayFixture.start(silentWorker, worker, otherWorker, thirdWorker)) {
      long succeededInLastBatch = 0;
      for (int batch = 0; batch < 5; batch++) {
        succeededInLastBatch = invokeConcurrently(fixture, 20);
      }
      assertThat(silentWorker.inferenceRequestCount())
          .as("requests sent to the half-open worker, out of 100")
          .isLessThanOrEqualTo(12);
      assertThat(succeededInLastBatch)
          .as("requests that succeeded, out of the last 20")
          .isGreaterThanOrEqualTo(18);
    }
  }

  /** Invokes {@code count} functions concurrently; returns how many of the requests succeeded. */
  private static long invokeConcurrently(GatewayFixture fixture, int count) {
    List<CompletableFuture<String>> outcomes = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      outcomes.add(fixture.invokeForOutcomeAsync("once-" + i, "1"));
    }
    return outcomes.stream().filter(outcome -> outcome.join().equals(SUCCEEDED)).count();
  }
}

package switchgap.server.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static switchgap.server.gateway.GatewayFixture.FAILED;
import static switchgap.server.gateway.GatewayFixture.IDEMPOTENT;
import static switchgap.server.gateway.GatewayFixture.NON_IDEMPOTENT;
import static switchgap.server.gateway.GatewayFixture.SUCCEEDED;
import static switchgap.server.gateway.GatewayFixture.endOf;
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

/** Connections to workers that are half open, idle for long, or closed at the worst moment. */
class ConnectionFaultsTest {
  private static final String NOT_EXECUTED =
      "endpoint-load-metrics: TEXT named_metrics.executed=0\r\n";

  private static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.US_ASCII));
    out.flush();
  }

  /** The final response follows an interim one on the same connection. */
  @Test
  void anInterimResponseIsNotFinal() throws Exception {
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
        assertThat(endOf(response)).isEqualTo(SUCCEEDED);
        assertThat(response.body()).isEqualTo("{\"echo\":\"n" + i + "\"}");
      }
      assertThat(worker.inferenceRequestCount()).isEqualTo(3);
    }
  }

  /** Responds to a part of a request's head and closes with bytes unread. */
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
      // the test is over
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
        // either the response counts or the broken connection, and only one of them
        for (int i = 0; i < 3; i++) {
          assertThat(endOf(fixture.invoke(NON_IDEMPOTENT, largeBody))).isIn(SUCCEEDED, FAILED);
        }
        until(() -> fixture.router().pendingRequests() == 0);
      }
    }
  }

  @Test
  void aCloseBetweenHeadAndBodyMayHaveExecutedTheRequest() throws Exception {
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
      assertThat(endOf(fixture.invoke(NON_IDEMPOTENT, "1"))).isEqualTo(FAILED);
      assertThat(worker.inferenceRequestCount() + otherWorker.inferenceRequestCount()).isEqualTo(1);

      requests.set(0);
      assertThat(endOf(fixture.invoke(IDEMPOTENT, "1"))).isEqualTo(SUCCEEDED);
      assertThat(worker.inferenceRequestCount() + otherWorker.inferenceRequestCount()).isEqualTo(3);
    }
  }

  /**
   * Closed while idle: the router sees it before it writes, and sends a non-idempotent request on a
   * new one.
   */
  @Test
  void anIdleConnectionThatTheWorkerClosedIsNotReused() throws Exception {
    try (HttpTestServer worker = new HttpTestServer(HttpTestServer::echo);
        GatewayFixture fixture = GatewayFixture.start(worker)) {
      for (int i = 0; i < 5; i++) {
        assertThat(endOf(fixture.invoke(NON_IDEMPOTENT, "1"))).isEqualTo(SUCCEEDED);
        worker.closeConnections();
        Thread.sleep(60); // no view from here shows when the router has seen the close
      }
      assertThat(worker.inferenceRequestCount()).isEqualTo(5);
    }
  }

  /**
   * Closed during a load: the command ends at once, and the load is not retried there in a loop.
   */
  @Test
  void aCloseDuringALoadEndsTheCommandAndTheLoadMovesToAnotherWorker() throws Exception {
    LoadableWorker failing = new LoadableWorker(false);
    LoadableWorker healthy = new LoadableWorker(true);
    try (HttpTestServer worker = new HttpTestServer(failing);
        HttpTestServer otherWorker = new HttpTestServer(healthy);
        GatewayFixture fixture =
            GatewayFixture.builder()
                .sections("workers: {miss: answers, orders: true}\n")
                .workers(worker, otherWorker)
                .start()) {
      for (int i = 0; i < 4; i++) {
        String function = "once-" + i; // some prefer the one worker, some the other
        until(() -> endOf(fixture.invokeAsync(function, "1").join()).equals(SUCCEEDED));
      }
      assertThat(failing.loadCount()).isLessThanOrEqualTo(8);
      assertThat(fixture.router().pendingRequests()).isZero();
    }
  }

  /**
   * Loads functions on command; an unhealthy one closes the connection in place of the response.
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
   * Half open: connects, reads, never responds, stays listed. It must not go on attracting the
   * requests placed there.
   */
  @Test
  void aHalfOpenWorkerIsDetectedByItsSilence() throws Exception {
    try (HttpTestServer silent = new HttpTestServer(HttpTestServer::silent);
        HttpTestServer worker = new HttpTestServer(HttpTestServer::echo);
        HttpTestServer otherWorker = new HttpTestServer(HttpTestServer::echo);
        HttpTestServer thirdWorker = new HttpTestServer(HttpTestServer::echo);
        GatewayFixture fixture = GatewayFixture.start(silent, worker, otherWorker, thirdWorker)) {
      long lastSucceeded = 0;
      for (int batch = 0; batch < 5; batch++) {
        lastSucceeded = invokeConcurrently(fixture, 20);
      }
      assertThat(silent.inferenceRequestCount())
          .as("of 100 requests at the half-open worker")
          .isLessThanOrEqualTo(12);
      assertThat(lastSucceeded).as("of the last twenty").isGreaterThanOrEqualTo(18);
    }
  }

  /** Invokes as many functions at once; returns how many requests succeeded. */
  private static long invokeConcurrently(GatewayFixture fixture, int count) {
    List<CompletableFuture<String>> ends = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      ends.add(fixture.invokeForEndAsync("once-" + i, "1"));
    }
    return ends.stream().filter(end -> end.join().equals(SUCCEEDED)).count();
  }
}

package switchgap.server.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static switchgap.server.gateway.GatewayFixture.end;
import static switchgap.testing.BoundedWait.until;

import java.io.OutputStream;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/**
 * Responses that are lost, partial, duplicate or late on the socket, and how the router ends their
 * requests.
 */
class LostResponsesTest {
  private static final String NOT_EXECUTED =
      "endpoint-load-metrics: TEXT named_metrics.executed=0\r\n";

  @Test
  void aLostResponseFailsANonIdempotentRequestInTimeWithoutARetry() throws Exception {
    try (HttpTestServer worker = new HttpTestServer(HttpTestServer::silent);
        HttpTestServer otherWorker = new HttpTestServer(HttpTestServer::silent);
        GatewayFixture fixture = new GatewayFixture("", worker, otherWorker)) {
      long startNanos = System.nanoTime();
      HttpResponse<String> response = fixture.invoke("once-1", "{}");
      assertThat(end(response)).isEqualTo("killed");
      assertThat(response.statusCode()).isEqualTo(504);
      assertThat(response.body()).contains("\"repeat_harmless\":false");
      // the timeout, and a busy machine
      assertThat((System.nanoTime() - startNanos) / 1_000_000).isLessThan(2500);
      assertThat(worker.inferenceRequestCount() + otherWorker.inferenceRequestCount()).isEqualTo(1);
    }
  }

  @Test
  void aConnectionClosedDuringTheWriteMayHaveExecutedTheRequest() throws Exception {
    AtomicInteger requests = new AtomicInteger();
    HttpTestServer.Responder second =
        (request, out) -> requests.incrementAndGet() != 2 && HttpTestServer.echo(request, out);
    try (HttpTestServer worker = new HttpTestServer(second);
        GatewayFixture fixture = new GatewayFixture("", worker)) {
      assertThat(end(fixture.invoke("once-1", "1"))).isEqualTo("finished");
      // on the idle connection, which closes
      assertThat(end(fixture.invoke("once-1", "2"))).isEqualTo("killed");
      assertThat(worker.inferenceRequestCount()).isEqualTo(2);
    }
    requests.set(0);
    try (HttpTestServer worker = new HttpTestServer(second);
        GatewayFixture fixture = new GatewayFixture("", worker)) {
      assertThat(end(fixture.invoke("again-1", "1"))).isEqualTo("finished");
      // an idempotent one is retried
      assertThat(end(fixture.invoke("again-1", "2"))).isEqualTo("finished");
      assertThat(worker.inferenceRequestCount()).isEqualTo(3);
    }
  }

  @Test
  void aPartialResponseThenSilenceFailsBeforeTheDeadline() throws Exception {
    try (HttpTestServer worker =
            new HttpTestServer(
                (request, out) -> {
                  out.write(
                      "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf"
                          .getBytes(StandardCharsets.US_ASCII));
                  out.flush();
                  return HttpTestServer.silent(request, out);
                });
        GatewayFixture fixture = new GatewayFixture("", worker)) {
      long startNanos = System.nanoTime();
      assertThat(end(fixture.invoke("once-1", "{}"))).isEqualTo("killed");
      // the timeout, and a busy machine
      assertThat((System.nanoTime() - startNanos) / 1_000_000).isLessThan(2500);
    }
  }

  @Test
  void aDuplicateResponseIsNeverReadAsThatOfTheNextRequest() throws Exception {
    try (HttpTestServer worker =
            new HttpTestServer(
                (request, out) -> {
                  byte[] one = HttpTestServer.okResponse(request, request.body());
                  byte[] both = java.util.Arrays.copyOf(one, 2 * one.length);
                  System.arraycopy(one, 0, both, one.length, one.length);
                  out.write(both);
                  return true;
                });
        GatewayFixture fixture = new GatewayFixture("", worker)) {
      for (int i = 0; i < 40; i++) {
        HttpResponse<String> response = fixture.invoke("again-1", "\"call " + i + "\"");
        if (end(response).equals("finished")) {
          assertThat(response.body()).isEqualTo("\"call " + i + "\"");
        }
      }
      List<CompletableFuture<HttpResponse<String>>> many = new ArrayList<>();
      for (int i = 0; i < 60; i++) {
        many.add(fixture.later("again-1", "\"both " + i + "\""));
      }
      for (int i = 0; i < 60; i++) {
        HttpResponse<String> response = many.get(i).get();
        if (end(response).equals("finished")) {
          assertThat(response.body()).isEqualTo("\"both " + i + "\"");
        }
      }
    }
  }

  @Test
  void aResponseLongerThanItsContentLengthIsCutAndItsConnectionNotReused() throws Exception {
    try (HttpTestServer worker =
            new HttpTestServer(
                (request, out) -> {
                  out.write(
                      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}{\"more\":1}"
                          .getBytes(StandardCharsets.US_ASCII));
                  return true;
                });
        GatewayFixture fixture = new GatewayFixture("", worker)) {
      assertThat(fixture.invoke("again-1", "1").body()).isEqualTo("{}");
      Thread.sleep(50);
      assertThat(fixture.invoke("again-1", "2").body()).isEqualTo("{}");
      assertThat(
              worker.receivedRequests().stream()
                  .map(HttpTestServer.ReceivedRequest::connection)
                  .distinct()
                  .count())
          .isEqualTo(2);
    }
  }

  @Test
  void aResponseWithAnotherRequestIdIsNotAccepted() throws Exception {
    try (HttpTestServer worker =
            new HttpTestServer(
                (request, out) -> {
                  out.write(
                      HttpTestServer.response(
                          200, "X-Request-Id: somebody-elses.0\r\n", "\"wrong\""));
                  return true;
                });
        GatewayFixture fixture = new GatewayFixture("", worker)) {
      assertThat(end(fixture.invoke("once-1", "{}"))).isEqualTo("killed");
    }
  }

  @Test
  void aMissIsRetriedOnlyWhereTheWorkerReportsThatNothingExecuted() throws Exception {
    AtomicInteger requests = new AtomicInteger();
    try (HttpTestServer worker =
            new HttpTestServer(
                (request, out) -> {
                  if (!request.line().contains("/infer") || requests.incrementAndGet() > 1) {
                    return HttpTestServer.echo(request, out);
                  }
                  out.write(HttpTestServer.response(404, NOT_EXECUTED, "{}"));
                  return true;
                });
        GatewayFixture fixture = new GatewayFixture("", worker)) {
      assertThat(end(fixture.invoke("once-1", "{}")))
          .isEqualTo("finished"); // loaded, then executed
      assertThat(worker.receivedRequests().stream().map(HttpTestServer.ReceivedRequest::line))
          .anyMatch(line -> line.contains("/v2/repository/models/once-1/load"));
    }
    for (int status :
        new int[] {404, 429, 500, 503}) { // without the proof each may have been executed
      try (HttpTestServer worker =
              new HttpTestServer(
                  (request, out) -> {
                    out.write(HttpTestServer.response(status, "", "{}"));
                    return true;
                  });
          GatewayFixture fixture = new GatewayFixture("", worker)) {
        assertThat(end(fixture.invoke("once-1", "{}"))).as("status %d", status).isEqualTo("killed");
        assertThat(worker.inferenceRequestCount()).isEqualTo(1);
      }
    }
  }

  @Test
  void aLateResponseReachesNobody() throws Exception {
    try (HttpTestServer worker =
            new HttpTestServer(
                (request, out) -> {
                  if (request.body().contains("slow")) {
                    Thread.sleep(1300);
                  }
                  return HttpTestServer.echo(request, out);
                });
        GatewayFixture fixture = new GatewayFixture("", worker)) {
      assertThat(end(fixture.invoke("once-1", "\"slow\""))).isEqualTo("killed");
      for (int i = 0; i < 20; i++) {
        HttpResponse<String> response = fixture.invoke("once-1", "\"call " + i + "\"");
        assertThat(response.body()).isEqualTo("{\"echo\":\"call " + i + "\"}");
        Thread.sleep(20);
      }
    }
  }

  @Test
  void anUnreachableWorkerProvesThatNothingExecuted() throws Exception {
    int dead;
    try (HttpTestServer gone = new HttpTestServer(HttpTestServer::silent)) {
      dead = gone.port();
    }
    try (HttpTestServer otherWorker = new HttpTestServer(HttpTestServer::echo);
        GatewayFixture fixture =
            new GatewayFixture(
                "list:\n  workers:\n    - {name: dead, port: "
                    + dead
                    + "}\n    - {name: well, port: "
                    + otherWorker.port()
                    + "}\n")) {
      for (int i = 0; i < 8; i++) {
        assertThat(end(fixture.invoke("once-" + i, "{}"))).isEqualTo("finished");
      }
      assertThat(otherWorker.inferenceRequestCount()).isEqualTo(8);
    }
  }

  @Test
  void aClientThatDisconnectsAtAnyTimeLeavesNothingPending() throws Exception {
    try (HttpTestServer worker =
            new HttpTestServer(
                (request, out) -> {
                  Thread.sleep(100);
                  return HttpTestServer.echo(request, out);
                });
        GatewayFixture fixture = new GatewayFixture("", worker)) {
      for (int wait : new int[] {0, 1, 20, 50, 100, 105}) {
        try (Socket client = new Socket("127.0.0.1", fixture.gateway.port())) {
          OutputStream out = client.getOutputStream();
          out.write(
              "POST /v1/functions/once-1/invoke HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}"
                  .getBytes(StandardCharsets.US_ASCII));
          out.flush();
          Thread.sleep(wait);
        }
      }
      until(() -> fixture.gateway.pendingRequests() == 0);
      assertThat(end(fixture.invoke("once-1", "{}"))).isEqualTo("finished");
    }
  }

  @Test
  void withRandomResponseLossEachRequestEndsOnceAndNonIdempotentOnesExecuteOnce() throws Exception {
    Random random = new Random(5);
    HttpTestServer.Responder drops =
        (request, out) -> {
          boolean lost;
          synchronized (random) {
            lost = random.nextInt(4) == 0;
          }
          return !lost && HttpTestServer.echo(request, out);
        };
    try (HttpTestServer worker = new HttpTestServer(drops);
        HttpTestServer otherWorker = new HttpTestServer(drops);
        HttpTestServer thirdWorker = new HttpTestServer(drops);
        GatewayFixture fixture = new GatewayFixture("", worker, otherWorker, thirdWorker)) {
      List<CompletableFuture<HttpResponse<String>>> all = new ArrayList<>();
      for (int i = 0; i < 200; i++) {
        all.add(fixture.later(i % 2 == 0 ? "once-1" : "again-1", "\"n" + i + ".\""));
        if (i % 10 == 9) {
          Thread.sleep(20);
        }
      }
      int finished = 0;
      for (int i = 0; i < 200; i++) {
        String end = end(all.get(i).get());
        assertThat(end).isIn("finished", "pushed-back", "killed");
        finished += end.equals("finished") ? 1 : 0;
        String body = "n" + i + ".";
        long runs =
            List.of(worker, otherWorker, thirdWorker).stream()
                .flatMap(server -> server.receivedRequests().stream())
                .filter(request -> request.body().contains(body))
                .count();
        if (i % 2 == 0) {
          assertThat(runs).as(body).isLessThanOrEqualTo(1);
        }
        if (i % 2 == 0 && end.equals("pushed-back")) {
          assertThat(runs).as(body).isZero();
        }
      }
      assertThat(finished).isGreaterThan(100);
      assertThat(fixture.gateway.requestCounts().total()).isEqualTo(200);
    }
  }
}

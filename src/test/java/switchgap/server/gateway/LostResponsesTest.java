package switchgap.server.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static switchgap.server.gateway.GatewayFixture.FAILED;
import static switchgap.server.gateway.GatewayFixture.IDEMPOTENT;
import static switchgap.server.gateway.GatewayFixture.NON_IDEMPOTENT;
import static switchgap.server.gateway.GatewayFixture.REJECTED;
import static switchgap.server.gateway.GatewayFixture.SUCCEEDED;
import static switchgap.server.gateway.GatewayFixture.outcomeOf;

import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** Checks how requests end whose responses are lost, partial or late. */
class LostResponsesTest {
  /** The request timeout of 900 ms, with a margin for a busy machine. */
  private static final long MAX_MILLIS_UNTIL_FAILURE = 2500;

  private static long millisSince(long startNanos) {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  @Test
  void aLostResponseFailsANonIdempotentRequestInTimeWithoutARetry() throws Exception {
    try (HttpTestServer worker = new HttpTestServer(HttpTestServer::silent);
        HttpTestServer otherWorker = new HttpTestServer(HttpTestServer::silent);
        GatewayFixture fixture = GatewayFixture.start(worker, otherWorker)) {
      long startNanos = System.nanoTime();
      HttpResponse<String> response = fixture.invoke(NON_IDEMPOTENT, "{}");
      assertThat(outcomeOf(response)).isEqualTo(FAILED);
      assertThat(response.statusCode()).isEqualTo(504);
      assertThat(response.body()).contains("\"repeat_harmless\":false");
      assertThat(millisSince(startNanos)).isLessThan(MAX_MILLIS_UNTIL_FAILURE);
      assertThat(worker.inferenceRequestCount() + otherWorker.inferenceRequestCount()).isEqualTo(1);
    }
  }

  /** Closes the connection instead of responding to the second request. */
  private static HttpTestServer.Responder closeAtSecondRequest() {
    AtomicInteger requests = new AtomicInteger();
    return (request, out) -> requests.incrementAndGet() != 2 && HttpTestServer.echo(request, out);
  }

  @Test
  void onlyAnIdempotentRequestIsRetriedAfterItsConnectionIsClosed() throws Exception {
    try (HttpTestServer worker = new HttpTestServer(closeAtSecondRequest());
        GatewayFixture fixture = GatewayFixture.start(worker)) {
      assertThat(outcomeOf(fixture.invoke(NON_IDEMPOTENT, "1"))).isEqualTo(SUCCEEDED);
      // It is sent on the idle connection, which the worker then closes.
      assertThat(outcomeOf(fixture.invoke(NON_IDEMPOTENT, "2"))).isEqualTo(FAILED);
      assertThat(worker.inferenceRequestCount()).isEqualTo(2);
    }
    try (HttpTestServer worker = new HttpTestServer(closeAtSecondRequest());
        GatewayFixture fixture = GatewayFixture.start(worker)) {
      assertThat(outcomeOf(fixture.invoke(IDEMPOTENT, "1"))).isEqualTo(SUCCEEDED);
      // An idempotent request is retried.
      assertThat(outcomeOf(fixture.invoke(IDEMPOTENT, "2"))).isEqualTo(SUCCEEDED);
      assertThat(worker.inferenceRequestCount()).isEqualTo(3);
    }
  }

  @Test
  void aPartialResponseThenSilenceFailsBeforeTheDeadline() throws Exception {
    byte[] partialResponse =
        "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf".getBytes(StandardCharsets.US_ASCII);
    HttpTestServer.Responder partial =
        (request, out) -> {
          out.write(partialResponse);
          out.flush();
          return HttpTestServer.silent(request, out);
        };
    try (HttpTestServer worker = new HttpTestServer(partial);
        GatewayFixture fixture = GatewayFixture.start(worker)) {
      long startNanos = System.nanoTime();
      assertThat(outcomeOf(fixture.invoke(NON_IDEMPOTENT, "{}"))).isEqualTo(FAILED);
      assertThat(millisSince(startNanos)).isLessThan(MAX_MILLIS_UNTIL_FAILURE);
    }
  }

  @Test
  void aLateResponseIsDiscarded() throws Exception {
    HttpTestServer.Responder sometimesSlow =
        (request, out) -> {
          if (request.body().contains("slow")) {
            Thread.sleep(1300);
          }
          return HttpTestServer.echo(request, out);
        };
    try (HttpTestServer worker = new HttpTestServer(sometimesSlow);
        GatewayFixture fixture = GatewayFixture.start(worker)) {
      assertThat(outcomeOf(fixture.invoke(NON_IDEMPOTENT, "\"slow\""))).isEqualTo(FAILED);
      for (int i = 0; i < 20; i++) {
        HttpResponse<String> response = fixture.invoke(NON_IDEMPOTENT, "\"request " + i + "\"");
        assertThat(response.body()).isEqualTo("{\"echo\":\"request " + i + "\"}");
        Thread.sleep(20);
      }
    }
  }

  @Test
  void withRandomResponseLossEachRequestEndsOnceAndNonIdempotentOnesExecuteOnce() throws Exception {
    HttpTestServer.Responder lossy = losingOneResponseInFour(new Random(5));
    try (HttpTestServer worker = new HttpTestServer(lossy);
        HttpTestServer otherWorker = new HttpTestServer(lossy);
        HttpTestServer thirdWorker = new HttpTestServer(lossy);
        GatewayFixture fixture = GatewayFixture.start(worker, otherWorker, thirdWorker)) {
      List<CompletableFuture<HttpResponse<String>>> responses = new ArrayList<>();
      for (int i = 0; i < 200; i++) {
        String function = i % 2 == 0 ? NON_IDEMPOTENT : IDEMPOTENT;
        responses.add(fixture.invokeAsync(function, "\"n" + i + ".\""));
        if (i % 10 == 9) {
          Thread.sleep(20);
        }
      }
      List<HttpTestServer> workers = List.of(worker, otherWorker, thirdWorker);
      int succeeded = 0;
      for (int i = 0; i < 200; i++) {
        String outcome = outcomeOf(responses.get(i).get());
        assertThat(outcome).isIn(SUCCEEDED, REJECTED, FAILED);
        succeeded += outcome.equals(SUCCEEDED) ? 1 : 0;
        if (i % 2 == 0) {
          assertExecutedAsReported(workers, "n" + i + ".", outcome);
        }
      }
      assertThat(succeeded).isGreaterThan(100);
      assertThat(fixture.router().requestCounts().total()).isEqualTo(200);
    }
  }

  private static HttpTestServer.Responder losingOneResponseInFour(Random random) {
    return (request, out) -> {
      boolean lost;
      synchronized (random) {
        lost = random.nextInt(4) == 0;
      }
      return !lost && HttpTestServer.echo(request, out);
    };
  }

  /** A non-idempotent request is executed at most once, and never if it was rejected. */
  private static void assertExecutedAsReported(
      List<HttpTestServer> workers, String body, String outcome) {
    long executions =
        workers.stream()
            .flatMap(worker -> worker.receivedRequests().stream())
            .filter(request -> request.body().contains(body))
            .count();
    assertThat(executions).as(body).isLessThanOrEqualTo(outcome.equals(REJECTED) ? 0 : 1);
  }
}

package switchgap.server.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static switchgap.server.gateway.GatewayFixture.FAILED;
import static switchgap.server.gateway.GatewayFixture.IDEMPOTENT;
import static switchgap.server.gateway.GatewayFixture.NON_IDEMPOTENT;
import static switchgap.server.gateway.GatewayFixture.SUCCEEDED;
import static switchgap.server.gateway.GatewayFixture.outcomeOf;

import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** Checks incorrect responses, and which responses show that a request was not executed. */
class UnexpectedResponsesTest {
  private static final String NOT_EXECUTED =
      "endpoint-load-metrics: TEXT named_metrics.executed=0\r\n";

  private static void assertBodyIfSucceeded(HttpResponse<String> response, String body) {
    if (outcomeOf(response).equals(SUCCEEDED)) {
      assertThat(response.body()).isEqualTo(body);
    }
  }

  @Test
  void aDuplicateResponseIsNeverAssignedToTheNextRequest() throws Exception {
    HttpTestServer.Responder respondTwice =
        (request, out) -> {
          byte[] single = HttpTestServer.okResponse(request, request.body());
          byte[] twice = Arrays.copyOf(single, 2 * single.length);
          System.arraycopy(single, 0, twice, single.length, single.length);
          out.write(twice);
          return true;
        };
    try (HttpTestServer worker = new HttpTestServer(respondTwice);
        GatewayFixture fixture = GatewayFixture.start(worker)) {
      for (int i = 0; i < 40; i++) {
        String body = "\"single " + i + "\"";
        assertBodyIfSucceeded(fixture.invoke(IDEMPOTENT, body), body);
      }
      List<CompletableFuture<HttpResponse<String>>> responses = new ArrayList<>();
      for (int i = 0; i < 60; i++) {
        responses.add(fixture.invokeAsync(IDEMPOTENT, "\"concurrent " + i + "\""));
      }
      for (int i = 0; i < 60; i++) {
        assertBodyIfSucceeded(responses.get(i).get(), "\"concurrent " + i + "\"");
      }
    }
  }

  @Test
  void aResponseLongerThanItsContentLengthIsTruncatedAndItsConnectionNotReused() throws Exception {
    byte[] tooLong =
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}{\"more\":1}"
            .getBytes(StandardCharsets.US_ASCII);
    HttpTestServer.Responder respondTooMuch =
        (request, out) -> {
          out.write(tooLong);
          return true;
        };
    try (HttpTestServer worker = new HttpTestServer(respondTooMuch);
        GatewayFixture fixture = GatewayFixture.start(worker)) {
      assertThat(fixture.invoke(IDEMPOTENT, "1").body()).isEqualTo("{}");
      // Long enough for the rest of the response to arrive.
      Thread.sleep(50);
      assertThat(fixture.invoke(IDEMPOTENT, "2").body()).isEqualTo("{}");
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
    HttpTestServer.Responder otherRequestId =
        (request, out) -> {
          out.write(
              HttpTestServer.response(200, "X-Request-Id: somebody-elses.0\r\n", "\"wrong\""));
          return true;
        };
    try (HttpTestServer worker = new HttpTestServer(otherRequestId);
        GatewayFixture fixture = GatewayFixture.start(worker)) {
      assertThat(outcomeOf(fixture.invoke(NON_IDEMPOTENT, "{}"))).isEqualTo(FAILED);
    }
  }

  @Test
  void anErrorResponseIsRetriedOnlyIfItReportsThatNothingWasExecuted() throws Exception {
    AtomicInteger requests = new AtomicInteger();
    HttpTestServer.Responder missFirst =
        (request, out) -> {
          if (!request.isInference() || requests.incrementAndGet() > 1) {
            return HttpTestServer.echo(request, out);
          }
          out.write(HttpTestServer.response(404, NOT_EXECUTED, "{}"));
          return true;
        };
    try (HttpTestServer worker = new HttpTestServer(missFirst);
        GatewayFixture fixture = GatewayFixture.start(worker)) {
      assertThat(outcomeOf(fixture.invoke(NON_IDEMPOTENT, "{}"))).isEqualTo(SUCCEEDED);
      assertThat(worker.receivedRequests().stream().map(HttpTestServer.ReceivedRequest::line))
          .anyMatch(line -> line.contains("/v2/repository/models/once-1/load"));
    }
    for (int status : new int[] {404, 429, 500, 503}) {
      assertFailsWithoutLoadReport(status);
    }
  }

  /** Without a load report, an error response may come from a request that was executed. */
  private static void assertFailsWithoutLoadReport(int status) throws Exception {
    HttpTestServer.Responder withoutLoadReport =
        (request, out) -> {
          out.write(HttpTestServer.response(status, "", "{}"));
          return true;
        };
    try (HttpTestServer worker = new HttpTestServer(withoutLoadReport);
        GatewayFixture fixture = GatewayFixture.start(worker)) {
      assertThat(outcomeOf(fixture.invoke(NON_IDEMPOTENT, "{}")))
          .as("outcome after a response with status %d and no load report", status)
          .isEqualTo(FAILED);
      assertThat(worker.inferenceRequestCount()).isEqualTo(1);
    }
  }

  @Test
  void aRequestToAnUnreachableWorkerIsRetriedElsewhere() throws Exception {
    int closedPort;
    try (HttpTestServer gone = new HttpTestServer(HttpTestServer::silent)) {
      closedPort = gone.port();
    }
    try (HttpTestServer worker = new HttpTestServer(HttpTestServer::echo)) {
      String workers =
          """
          list:
            workers:
              - {name: dead, port: %d}
              - {name: well, port: %d}
          """
              .formatted(closedPort, worker.port());
      try (GatewayFixture fixture = GatewayFixture.builder().sections(workers).start()) {
        for (int i = 0; i < 8; i++) {
          assertThat(outcomeOf(fixture.invoke("once-" + i, "{}"))).isEqualTo(SUCCEEDED);
        }
        assertThat(worker.inferenceRequestCount()).isEqualTo(8);
      }
    }
  }
}

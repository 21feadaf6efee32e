package switchgap.server.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static switchgap.server.gateway.GatewayFixture.IDEMPOTENT;
import static switchgap.server.gateway.GatewayFixture.NON_IDEMPOTENT;
import static switchgap.server.gateway.GatewayFixture.REJECTED;
import static switchgap.server.gateway.GatewayFixture.SUCCEEDED;
import static switchgap.server.gateway.GatewayFixture.endOf;
import static switchgap.testing.BoundedWait.until;

import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import switchgap.net.NetworkTransport;
import switchgap.testbed.emulator.EndpointListService;
import switchgap.testbed.emulator.EndpointState;
import switchgap.testbed.emulator.EventRecorder;
import switchgap.testbed.emulator.RealTimeScheduler;

/**
 * The endpoint list while requests run: workers gone, draining, restarted, and a service that is
 * away.
 */
class GatewayEndpointListTest {
  private static final long RESPONSE_MILLIS = 150;

  @TempDir Path directory;

  private NetworkTransport network;
  private RealTimeScheduler scheduler;
  private EventRecorder recorder;
  private HttpTestServer worker;
  private HttpTestServer otherWorker;
  private EndpointListService list;

  @BeforeEach
  void startServices() throws Exception {
    HttpTestServer.Responder slow =
        (request, out) -> {
          Thread.sleep(RESPONSE_MILLIS);
          return HttpTestServer.echo(request, out);
        };
    network = new NetworkTransport(1, "list");
    scheduler = new RealTimeScheduler();
    recorder = new EventRecorder(directory.resolve("events"));
    worker = new HttpTestServer(slow);
    otherWorker = new HttpTestServer(slow);
    list = new EndpointListService(scheduler, network, recorder, 0);
  }

  @AfterEach
  void closeServices() throws Exception {
    list.close();
    otherWorker.close();
    worker.close();
    recorder.close();
    scheduler.close();
    network.close();
  }

  private static EndpointListService.Entry entry(
      String name, HttpTestServer server, EndpointState state, long startedAtMillis) {
    return new EndpointListService.Entry(
        name, server.port(), state, "zone", 0, "", 1, startedAtMillis);
  }

  private static EndpointListService.Entry entry(
      String name, HttpTestServer server, EndpointState state) {
    return entry(name, server, state, 0);
  }

  private static boolean ends(GatewayFixture fixture, String function, String end) {
    return fixture.invokeForEndAsync(function, "0").join().equals(end);
  }

  @Test
  void followsWorkersThatAreGoneDrainAndReturn() throws Exception {
    scheduler.post(() -> list.put(entry("w0", worker, EndpointState.READY)));
    try (GatewayFixture fixture =
        GatewayFixture.builder()
            .sections("list: {port: " + list.port() + ", ask_again: 50ms}\n")
            .start()) {
      until(() -> list.entries().size() == 1);
      until(Duration.ofMillis(200), () -> ends(fixture, NON_IDEMPOTENT, SUCCEEDED));

      assertRequestSurvivesWorkerThatIsGone(fixture);
      assertDrainingWorkerGetsNoRequest(fixture);
      assertListOutlivesItsService(fixture);
      assertReturnedWorkerGetsRequests(fixture);
    }
  }

  /** The worker is gone with an attempt in flight, and another one is ready. */
  private void assertRequestSurvivesWorkerThatIsGone(GatewayFixture fixture) throws Exception {
    CompletableFuture<HttpResponse<String>> pending = fixture.invokeAsync(NON_IDEMPOTENT, "2");
    until(() -> worker.inferenceRequestCount() == 2);
    scheduler.post(
        () -> {
          list.put(entry("w0", worker, EndpointState.GONE));
          list.put(entry("w1", otherWorker, EndpointState.READY));
        });
    assertThat(endOf(pending.get())).isEqualTo(SUCCEEDED); // its connection still responds
    Thread.sleep(100); // nothing visible here shows when the router has applied the change
    assertThat(endOf(fixture.invoke(NON_IDEMPOTENT, "3"))).isEqualTo(SUCCEEDED);
    assertThat(worker.inferenceRequestCount()).isEqualTo(2);
  }

  /** The only worker that is left drains. */
  private void assertDrainingWorkerGetsNoRequest(GatewayFixture fixture) throws Exception {
    scheduler.post(() -> list.put(entry("w1", otherWorker, EndpointState.DRAINING)));
    until(Duration.ofMillis(100), () -> ends(fixture, NON_IDEMPOTENT, REJECTED));
    int before = otherWorker.receivedRequests().size();
    assertThat(endOf(fixture.invoke(NON_IDEMPOTENT, "4"))).isEqualTo(REJECTED);
    assertThat(otherWorker.receivedRequests()).hasSize(before);
  }

  private void assertListOutlivesItsService(GatewayFixture fixture) throws Exception {
    scheduler.post(() -> list.setUnavailable(true));
    Thread.sleep(200);
    assertThat(endOf(fixture.invoke(NON_IDEMPOTENT, "5"))).isEqualTo(REJECTED);
  }

  /** A known name with a new process. */
  private void assertReturnedWorkerGetsRequests(GatewayFixture fixture) throws Exception {
    scheduler.post(
        () -> {
          list.put(entry("w0", worker, EndpointState.READY, System.currentTimeMillis()));
          list.setUnavailable(false);
        });
    until(() -> ends(fixture, IDEMPOTENT, SUCCEEDED));
    assertThat(worker.inferenceRequestCount()).isGreaterThan(2);
  }

  /** The head of a chunked response with the first line of an endpoint list of one worker. */
  private static byte[] listStart(int version, int workerPort, EndpointState state) {
    String worker =
        "{\"name\":\"w0\",\"port\":%d,\"state\":\"%s\",\"zone\":\"zone\"}"
            .formatted(workerPort, state);
    String line = "{\"whole\":true,\"version\":%d,\"workers\":[%s]}\n".formatted(version, worker);
    String chunk = Integer.toHexString(line.length()) + "\r\n" + line + "\r\n";
    return ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk)
        .getBytes(StandardCharsets.US_ASCII);
  }

  /**
   * Half open: the service's host is gone without closing. That looked like a list in which nothing
   * changes.
   */
  @Test
  void aSilentEndpointListServiceIsRequestedAgain() throws Exception {
    AtomicInteger listRequests = new AtomicInteger();
    HttpTestServer.Responder listThenSilence =
        (request, out) -> {
          int version = listRequests.incrementAndGet();
          EndpointState state = version < 3 ? EndpointState.READY : EndpointState.DRAINING;
          out.write(listStart(version, worker.port(), state));
          out.flush();
          return HttpTestServer.silent(request, out);
        };
    worker.setResponder(HttpTestServer::echo);
    try (HttpTestServer service = new HttpTestServer(listThenSilence);
        GatewayFixture fixture =
            GatewayFixture.builder()
                .sections("list: {port: " + service.port() + ", ask_again: 20ms}\n")
                .start()) {
      until(() -> listRequests.get() == 1);
      // the last list stays meanwhile
      assertThat(endOf(fixture.invoke(NON_IDEMPOTENT, "1"))).isEqualTo(SUCCEEDED);
      until(Duration.ofSeconds(3), () -> listRequests.get() >= 3);
      until(
          Duration.ofMillis(100),
          () -> ends(fixture, NON_IDEMPOTENT, REJECTED)); // the drain was noticed
      assertThat(endOf(fixture.invoke(NON_IDEMPOTENT, "2"))).isEqualTo(REJECTED);
    }
  }
}

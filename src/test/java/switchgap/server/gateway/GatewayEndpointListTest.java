package switchgap.server.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static switchgap.server.gateway.GatewayFixture.IDEMPOTENT;
import static switchgap.server.gateway.GatewayFixture.NON_IDEMPOTENT;
import static switchgap.server.gateway.GatewayFixture.REJECTED;
import static switchgap.server.gateway.GatewayFixture.SUCCEEDED;
import static switchgap.server.gateway.GatewayFixture.outcomeOf;
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
 * Checks changes of the endpoint list while requests are pending: workers that are gone, drain or
 * restart, and an endpoint list service that is unavailable.
 */
class GatewayEndpointListTest {
  private static final long RESPONSE_MILLIS = 150;

  @TempDir Path directory;

  private NetworkTransport network;
  private RealTimeScheduler scheduler;
  private EventRecorder recorder;
  private HttpTestServer worker;
  private HttpTestServer otherWorker;
  private EndpointListService listService;

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
    listService = new EndpointListService(scheduler, network, recorder, 0);
  }

  @AfterEach
  void closeServices() throws Exception {
    listService.close();
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

  private static boolean invocationHasOutcome(
      GatewayFixture fixture, String function, String expectedOutcome) {
    return fixture.invokeForOutcomeAsync(function, "0").join().equals(expectedOutcome);
  }

  @Test
  void appliesListChangesOfGoneDrainingAndReturnedWorkers() throws Exception {
    scheduler.post(() -> listService.put(entry("w0", worker, EndpointState.READY)));
    try (GatewayFixture fixture =
        GatewayFixture.builder()
            .sections("list: {port: " + listService.port() + ", ask_again: 50ms}\n")
            .start()) {
      until(() -> listService.entries().size() == 1);
      until(Duration.ofMillis(200), () -> invocationHasOutcome(fixture, NON_IDEMPOTENT, SUCCEEDED));

      assertPendingRequestSucceedsAfterItsWorkerIsGone(fixture);
      assertDrainingWorkerGetsNoRequest(fixture);
      assertListStaysValidWhileItsServiceIsUnavailable(fixture);
      assertReturnedWorkerGetsRequests(fixture);
    }
  }

  /** The list replaces a worker by another one while an attempt is in flight. */
  private void assertPendingRequestSucceedsAfterItsWorkerIsGone(GatewayFixture fixture)
      throws Exception {
    CompletableFuture<HttpResponse<String>> pending = fixture.invokeAsync(NON_IDEMPOTENT, "2");
    until(() -> worker.inferenceRequestCount() == 2);
    scheduler.post(
        () -> {
          listService.put(entry("w0", worker, EndpointState.GONE));
          listService.put(entry("w1", otherWorker, EndpointState.READY));
        });
    // The worker still responds on its open connection.
    assertThat(outcomeOf(pending.get())).isEqualTo(SUCCEEDED);
    // The test can't observe when the router has applied the change.
    Thread.sleep(100);
    assertThat(outcomeOf(fixture.invoke(NON_IDEMPOTENT, "3"))).isEqualTo(SUCCEEDED);
    assertThat(worker.inferenceRequestCount()).isEqualTo(2);
  }

  /** The only remaining worker starts to drain. */
  private void assertDrainingWorkerGetsNoRequest(GatewayFixture fixture) throws Exception {
    scheduler.post(() -> listService.put(entry("w1", otherWorker, EndpointState.DRAINING)));
    until(Duration.ofMillis(100), () -> invocationHasOutcome(fixture, NON_IDEMPOTENT, REJECTED));
    int requestsBefore = otherWorker.receivedRequests().size();
    assertThat(outcomeOf(fixture.invoke(NON_IDEMPOTENT, "4"))).isEqualTo(REJECTED);
    assertThat(otherWorker.receivedRequests()).hasSize(requestsBefore);
  }

  private void assertListStaysValidWhileItsServiceIsUnavailable(GatewayFixture fixture)
      throws Exception {
    scheduler.post(() -> listService.setUnavailable(true));
    Thread.sleep(200);
    assertThat(outcomeOf(fixture.invoke(NON_IDEMPOTENT, "5"))).isEqualTo(REJECTED);
  }

  /** A worker returns under its old name with a later start time, as after a restart. */
  private void assertReturnedWorkerGetsRequests(GatewayFixture fixture) throws Exception {
    scheduler.post(
        () -> {
          listService.put(entry("w0", worker, EndpointState.READY, System.currentTimeMillis()));
          listService.setUnavailable(false);
        });
    until(() -> invocationHasOutcome(fixture, IDEMPOTENT, SUCCEEDED));
    assertThat(worker.inferenceRequestCount()).isGreaterThan(2);
  }

  /** Returns the start of a chunked response: a complete endpoint list with one worker. */
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
   * Guards against an outdated list: if the service's host disappears without closing the
   * connection, the router must not take the silence for a list without changes.
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
      // The router continues to use the last list.
      assertThat(outcomeOf(fixture.invoke(NON_IDEMPOTENT, "1"))).isEqualTo(SUCCEEDED);
      // From the third request on, the list has the worker as draining.
      until(Duration.ofSeconds(3), () -> listRequests.get() >= 3);
      until(Duration.ofMillis(100), () -> invocationHasOutcome(fixture, NON_IDEMPOTENT, REJECTED));
      assertThat(outcomeOf(fixture.invoke(NON_IDEMPOTENT, "2"))).isEqualTo(REJECTED);
    }
  }
}

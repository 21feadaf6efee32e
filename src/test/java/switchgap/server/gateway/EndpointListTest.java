package switchgap.server.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static switchgap.server.gateway.GatewayFixture.end;
import static switchgap.testing.BoundedWait.until;

import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
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
class EndpointListTest {
  @TempDir Path dir;

  private static EndpointListService.Entry entry(
      String name, HttpTestServer server, EndpointState state) {
    return new EndpointListService.Entry(name, server.port(), state, "zone", 0, "", 1, 0);
  }

  @Test
  void workersThatLeaveDrainAndReturnAreFollowed() throws Exception {
    HttpTestServer.Responder slow =
        (request, out) -> {
          Thread.sleep(150);
          return HttpTestServer.echo(request, out);
        };
    try (NetworkTransport net = new NetworkTransport(1, "list");
        RealTimeScheduler scheduler = new RealTimeScheduler();
        EventRecorder log = new EventRecorder(dir.resolve("l"));
        HttpTestServer worker = new HttpTestServer(slow);
        HttpTestServer otherWorker = new HttpTestServer(slow)) {
      EndpointListService list = new EndpointListService(scheduler, net, log, 0);
      scheduler.post(() -> list.put(entry("w0", worker, EndpointState.READY)));
      try (GatewayFixture fixture =
          new GatewayFixture("list: {port: " + list.port() + ", ask_again: 50ms}\n")) {
        until(() -> list.entries().size() == 1);
        Thread.sleep(200);
        assertThat(end(fixture.invoke("once-1", "1"))).isEqualTo("finished");
        CompletableFuture<HttpResponse<String>> pending = fixture.later("once-1", "2");
        until(() -> worker.inferenceRequestCount() == 2);
        scheduler.post(
            () -> { // gone with an attempt in flight, and another one ready
              list.put(entry("w0", worker, EndpointState.GONE));
              list.put(entry("w1", otherWorker, EndpointState.READY));
            });
        assertThat(end(pending.get())).isEqualTo("finished"); // its connection still responds
        Thread.sleep(100);
        assertThat(end(fixture.invoke("once-1", "3"))).isEqualTo("finished");
        assertThat(worker.inferenceRequestCount()).isEqualTo(2);
        // with no other one left
        scheduler.post(() -> list.put(entry("w1", otherWorker, EndpointState.DRAINING)));
        Thread.sleep(100);
        long before = otherWorker.receivedRequests().size();
        assertThat(end(fixture.invoke("once-1", "4"))).isEqualTo("pushed-back");
        assertThat(otherWorker.receivedRequests()).hasSize((int) before);
        scheduler.post(() -> list.setUnavailable(true)); // the last list stays
        Thread.sleep(200);
        assertThat(end(fixture.invoke("once-1", "5"))).isEqualTo("pushed-back");
        scheduler.post(
            () -> {
              list.put(
                  new EndpointListService.Entry(
                      "w0",
                      worker.port(),
                      EndpointState.READY,
                      "zone",
                      0,
                      "",
                      1,
                      System.currentTimeMillis()));
              list.setUnavailable(false);
            });
        until(
            () -> {
              try {
                return end(fixture.invoke("again-1", "6")).equals("finished");
              } catch (Exception e) {
                return false;
              }
            });
        assertThat(worker.inferenceRequestCount())
            .isGreaterThan(2); // a known name with a new process
      }
      list.close();
    }
  }

  /**
   * Half open: the service's host is gone without closing. That looked like a list in which nothing
   * changes.
   */
  @Test
  void aSilentEndpointListServiceIsAskedAgain() throws Exception {
    AtomicInteger asked = new AtomicInteger();
    try (HttpTestServer worker = new HttpTestServer(HttpTestServer::echo);
        HttpTestServer service =
            new HttpTestServer(
                (request, out) -> {
                  int requestNumber = asked.incrementAndGet();
                  String line =
                      "{\"whole\":true,\"version\":"
                          + requestNumber
                          + ",\"workers\":[{\"name\":\"w0\",\"port\":"
                          + worker.port()
                          + ",\"state\":\""
                          + (requestNumber < 3 ? EndpointState.READY : EndpointState.DRAINING)
                          + "\",\"zone\":\"zone\"}]}\n";
                  out.write(
                      ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                              + Integer.toHexString(line.length())
                              + "\r\n"
                              + line
                              + "\r\n")
                          .getBytes(StandardCharsets.US_ASCII));
                  out.flush();
                  return HttpTestServer.silent(request, out);
                });
        GatewayFixture fixture =
            new GatewayFixture("list: {port: " + service.port() + ", ask_again: 20ms}\n")) {
      until(() -> asked.get() == 1);
      // the last list stays meanwhile
      assertThat(end(fixture.invoke("once-1", "1"))).isEqualTo("finished");
      for (int i = 0; i < 300 && asked.get() < 3; i++) {
        Thread.sleep(10);
      }
      assertThat(asked.get()).isGreaterThanOrEqualTo(3);
      Thread.sleep(100);
      assertThat(end(fixture.invoke("once-1", "2")))
          .isEqualTo("pushed-back"); // the drain was noticed
    }
  }
}

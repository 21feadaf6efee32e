package switchgap.server.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Client and worker connections each stay within their quota of the file descriptors. */
class DescriptorLimitTest extends PlatformFixture {
  /** Just below the longest timeout that the settings allow, as the machine may be busy. */
  private static final int LONG_TIMEOUT_MILLIS = 1950;

  private static final int MAX_SOCKETS = 48; // clients and workers have quotas of 16 each

  @Test
  void boundsClientConnectionsWhileEventLoopIsBlocked() throws Exception {
    startRouter(MAX_SOCKETS, RespTestServer.executingAll());
    int maxOpen = 0;
    try (AutoCloseable gate = blockEventLoop()) {
      for (int i = 0; i < 60; i++) {
        ThriftTestClient waitingClient = connectClient();
        await(waitingClient::isConnected);
        maxOpen = Math.max(maxOpen, router.openClientConnections());
      }
      await(() -> router.openClientConnections() == MAX_SOCKETS / 3 + MAX_SOCKETS / 12);
      maxOpen = Math.max(maxOpen, router.openClientConnections());
    }
    // A connection that is being closed is still counted.
    assertThat(maxOpen).isLessThanOrEqualTo(MAX_SOCKETS / 3 + MAX_SOCKETS / 12 + 1);
    await(() -> router.openClientConnections() <= MAX_SOCKETS / 3);
    ThriftTestClient client = connectClient();
    client.submit(1, TestSubmit.idempotent(nextId()).timeoutMillis(LONG_TIMEOUT_MILLIS));
    assertThat(client.receiveReply().outcome()).isEqualTo(ReplyOutcome.SUCCEEDED);
  }

  /** There are three times as many workers as the quota for worker connections. */
  @Test
  void boundsWorkerConnectionsWhenWorkersExceedTheirQuota() throws Exception {
    List<RespTestServer> workers = new ArrayList<>();
    List<String> endpoints = new ArrayList<>();
    for (int i = 0; i < MAX_SOCKETS; i++) {
      RespTestServer worker = RespTestServer.executingAll();
      resources.add(worker);
      workers.add(worker);
      endpoints.add(EventStreamTestServer.servingEndpoint("n" + i, worker.address()));
    }
    startRouter(MAX_SOCKETS, RespTestServer.executingAll());
    await(() -> eventStream.hasClient());
    eventStream.sendEvent(
        EventStreamTestServer.endpointListEvent(2, false, endpoints.toArray(new String[0])));
    ThriftTestClient client = connectClient();
    int maxOpen = 0;
    for (int number = 1; number <= 400; number++) {
      client.submit(
          number,
          TestSubmit.idempotent(nextId()).timeoutMillis(LONG_TIMEOUT_MILLIS).function(number));
      assertThat(client.receiveReply().outcome())
          .as("outcome of request %d", number)
          .isEqualTo(ReplyOutcome.SUCCEEDED);
      maxOpen = Math.max(maxOpen, router.resourceUsage().workerConnections());
    }
    assertThat(workers.stream().filter(worker -> !worker.executions().isEmpty()).count())
        .isGreaterThan(MAX_SOCKETS / 2);
    // A connection that is being evicted is still counted.
    assertThat(maxOpen).isBetween(MAX_SOCKETS / 4, MAX_SOCKETS / 3 + 2);
  }
}

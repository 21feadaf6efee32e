package switchgap.server.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The quotas of the descriptors: clients and workers each stay within theirs. */
class DescriptorLimitTest extends PlatformFixture {
  /** The longest timeout that the settings allow, in case the machine is busy. */
  private static final int MAX_TIMEOUT_MILLIS = 1950;

  private static final int SOCKETS = 48; // sixteen for clients, sixteen for workers

  @Test
  void boundsClientConnectionsWhileEventLoopIsBlocked() throws Exception {
    startRouter(SOCKETS, RespTestServer.executingAll());
    int maxOpen = 0;
    try (AutoCloseable gate = blockEventLoop()) {
      for (int i = 0; i < 60; i++) {
        ThriftTestClient waiting = connectClient();
        await(waiting::isConnected);
        maxOpen = Math.max(maxOpen, router.openClientConnections());
      }
      await(() -> router.openClientConnections() == SOCKETS / 3 + SOCKETS / 12);
      maxOpen = Math.max(maxOpen, router.openClientConnections());
    }
    assertThat(maxOpen)
        .isLessThanOrEqualTo(
            SOCKETS / 3 + SOCKETS / 12 + 1); // one is counted while it is being closed
    await(() -> router.openClientConnections() <= SOCKETS / 3);
    ThriftTestClient client = connectClient();
    client.submit(1, TestSubmit.idempotent(nextId()).timeoutMillis(MAX_TIMEOUT_MILLIS));
    assertThat(client.receiveReply().outcome()).isEqualTo(ReplyOutcome.SUCCEEDED);
  }

  /** There are three times as many workers as their quota of the descriptors. */
  @Test
  void boundsWorkerConnectionsWhenWorkersExceedTheirQuota() throws Exception {
    List<RespTestServer> workers = new ArrayList<>();
    List<String> endpoints = new ArrayList<>();
    for (int i = 0; i < SOCKETS; i++) {
      RespTestServer worker = RespTestServer.executingAll();
      resources.add(worker);
      workers.add(worker);
      endpoints.add(EventStreamTestServer.servingEndpoint("n" + i, worker.address()));
    }
    startRouter(SOCKETS, RespTestServer.executingAll());
    await(() -> eventStream.hasClient());
    eventStream.sendEvent(
        EventStreamTestServer.endpointListEvent(2, false, endpoints.toArray(new String[0])));
    ThriftTestClient client = connectClient();
    int maxOpen = 0;
    for (int number = 1; number <= 400; number++) {
      client.submit(
          number,
          TestSubmit.idempotent(nextId()).timeoutMillis(MAX_TIMEOUT_MILLIS).function(number));
      assertThat(client.receiveReply().outcome())
          .as("request %d", number)
          .isEqualTo(ReplyOutcome.SUCCEEDED);
      maxOpen = Math.max(maxOpen, router.resourceUsage().workerConnections());
    }
    assertThat(workers.stream().filter(worker -> !worker.executions().isEmpty()).count())
        .isGreaterThan(SOCKETS / 2);
    assertThat(maxOpen)
        .isBetween(SOCKETS / 4, SOCKETS / 3 + 2); // one is evicted while the next is opened
  }
}

package switchgap.server.platform;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Changes of the endpoint list while requests are served. */
class EndpointUpdateTest extends PlatformFixture {
  /** Time for the router to read and handle an event, which has no visible effect to wait for. */
  private static final long EVENT_HANDLING_MILLIS = 200;

  private static final int MAX_CONNECTIONS_PER_WORKER = 6;

  /** The replacement has the address of the deleted worker, but must get new connections. */
  @Test
  void sendsNothingToDrainingWorkerAndReconnectsToItsReplacement() throws Exception {
    RespTestServer firstWorker = RespTestServer.executingAll();
    RespTestServer secondWorker = RespTestServer.executingAll();
    startRouter(MANY_SOCKETS, firstWorker, secondWorker);
    await(() -> eventStream.hasClient());
    ThriftTestClient client = connectClient();
    assertServed(client, 1, 20);
    RespTestServer drainedWorker = firstWorker.executions().isEmpty() ? secondWorker : firstWorker;
    String drainedId = drainedWorker == firstWorker ? "w0" : "w1";
    eventStream.sendEvent(
        EventStreamTestServer.endpointListEvent(
            2,
            false,
            EventStreamTestServer.endpoint(drainedId, drainedWorker.address(), "DRAINING", 0)));
    Thread.sleep(EVENT_HANDLING_MILLIS);
    long receivedBefore = countWithoutLoadProbes(drainedWorker);
    int lastConnection =
        drainedWorker.received().stream()
            .mapToInt(RespTestServer.Command::connection)
            .max()
            .orElseThrow();
    assertServed(client, 1, 20);
    assertThat(countWithoutLoadProbes(drainedWorker)).isEqualTo(receivedBefore);
    eventStream.sendEvent(
        EventStreamTestServer.endpointListEvent(
            3,
            false,
            EventStreamTestServer.endpoint(drainedId, drainedWorker.address(), "DELETED", 0),
            EventStreamTestServer.servingEndpoint("w9", drainedWorker.address())));
    Thread.sleep(EVENT_HANDLING_MILLIS);
    assertServed(client, 41, 80);
    assertThat(
            drainedWorker.received().subList((int) receivedBefore, drainedWorker.received().size()))
        .isNotEmpty()
        .allMatch(command -> command.connection() > lastConnection);
  }

  /** Sends a request for each function of a range and asserts that it succeeds. */
  private void assertServed(ThriftTestClient client, int firstFunction, int lastFunction)
      throws Exception {
    for (int function = firstFunction; function <= lastFunction; function++) {
      client.submit(function, TestSubmit.idempotent(nextId()).function(function));
      assertThat(client.receiveReply().outcome()).isEqualTo(ReplyOutcome.SUCCEEDED);
    }
  }

  private static long countWithoutLoadProbes(RespTestServer worker) {
    return worker.received().stream()
        .filter(command -> !command.name().equals(RespTestServer.LOAD_PROBE))
        .count();
  }

  /**
   * Each request has a new client, id and function, and the worker gets a new id after every tenth
   * request; none of them may leave resources behind.
   */
  @Test
  void releasesResourcesOfPastClientsAndWorkers() throws Exception {
    RespTestServer worker = RespTestServer.executingAll();
    startRouter(MANY_SOCKETS, worker);
    await(() -> eventStream.hasClient());
    String previousId = "w0";
    for (int number = 1; number <= 400; number++) {
      try (ThriftTestClient client = new ThriftTestClient(router.port())) {
        client.submit(1, TestSubmit.idempotent(nextId()).function(number));
        assertThat(client.receiveReply().outcome()).isEqualTo(ReplyOutcome.SUCCEEDED);
      }
      if (number % 10 == 0) {
        String workerId = "wn" + number;
        eventStream.sendEvent(
            EventStreamTestServer.endpointListEvent(
                1 + number / 10,
                false,
                EventStreamTestServer.endpoint(previousId, worker.address(), "DELETED", 0),
                EventStreamTestServer.servingEndpoint(workerId, worker.address())));
        previousId = workerId;
      }
    }
    await(() -> isReleased(usage()));
    ResourceUsage usage = router.resourceUsage();
    assertThat(usage.pendingRequests()).as("pending requests").isZero();
    assertThat(usage.clientConnections()).as("connections of clients").isLessThanOrEqualTo(1);
    assertThat(usage.workerConnections())
        .as("connections to workers")
        .isLessThanOrEqualTo(MAX_CONNECTIONS_PER_WORKER);
  }

  private static boolean isReleased(ResourceUsage usage) {
    return usage.pendingRequests() == 0
        && usage.clientConnections() <= 1
        && usage.workerConnections() <= MAX_CONNECTIONS_PER_WORKER;
  }
}

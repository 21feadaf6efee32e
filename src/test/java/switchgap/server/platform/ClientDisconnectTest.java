package switchgap.server.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.CountDownLatch;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Clients that revoke, disconnect or retry while the router processes their requests. The tests
 * block the router's event loop to force race conditions.
 */
class ClientDisconnectTest extends PlatformFixture {
  @Test
  void cancelsAttemptWhenRequestIsRevokedOrClientDisconnects() throws Exception {
    RespTestServer worker = RespTestServer.neverReplying();
    startRouter(MANY_SOCKETS, worker);
    ThriftTestClient client = connectClient();
    ThriftTestClient leavingClient = connectClient();
    String revoked = nextId();
    client.submit(1, TestSubmit.idempotent(revoked));
    await(() -> worker.executions().size() == 1);
    client.revoke(2, 1);
    await(
        () ->
            worker.received(RespTestServer.CANCEL).stream()
                .anyMatch(command -> command.id().equals(revoked)));
    String abandoned = nextId();
    leavingClient.submit(1, TestSubmit.idempotent(abandoned).function("00000000000000f3"));
    await(() -> worker.executions().size() == 2);
    leavingClient.close();
    await(
        () ->
            worker.received(RespTestServer.CANCEL).stream()
                .anyMatch(command -> command.id().equals(abandoned)));
    client.heartbeat(3);
    assertThat(client.receiveReply().sequenceId()).isEqualTo(3);
  }

  @Test
  void neverForwardsRequestCancelledWhileQueued() throws Exception {
    RespTestServer worker = RespTestServer.executingAll();
    startRouter(MANY_SOCKETS, worker);
    ThriftTestClient client = connectClient();
    String revoked = nextId();
    String disconnected = nextId();
    ThriftTestClient leavingClient = connectClient();
    awaitMessagesRead(leavingClient, 1);
    assertServed(connectClient(), worker, 1); // loads a replica, so that later requests do not wait
    try (AutoCloseable gate = blockEventLoop()) {
      client.submit(1, TestSubmit.idempotent(revoked));
      client.revoke(2, 1);
      awaitMessagesRead(client, 3);
      leavingClient.submit(2, TestSubmit.idempotent(disconnected));
      awaitMessagesRead(leavingClient, 3);
      leavingClient.close();
      await(() -> router.openClientConnections() == 2);
    }
    assertServed(client, worker, 4);
    assertThat(worker.received())
        .noneMatch(command -> command.id().equals(revoked) || command.id().equals(disconnected));
    assertThat(router.resourceUsage().pendingRequests()).isZero();
  }

  /**
   * The event loop handles the client's disconnect and the worker's reply, which allows a retry, in
   * one tick.
   */
  @Test
  void startsNoRetryInTickThatHandlesClientDisconnect() throws Exception {
    CountDownLatch allowReply = new CountDownLatch(1);
    CountDownLatch replied = new CountDownLatch(1);
    RespTestServer.CommandHandler rejecting =
        (command, output) -> {
          if (!command.isExecution() || !command.body().equals("rejected")) {
            return RespTestServer.executeAll(command, output);
          }
          allowReply.await();
          RespTestServer.sendReply(
              output, command.id(), RespTestServer.REJECTED, RespTestServer.NO_REPORT, "");
          replied.countDown();
          return true;
        };
    RespTestServer firstWorker = new RespTestServer(rejecting);
    RespTestServer secondWorker = new RespTestServer(rejecting);
    startRouter(MANY_SOCKETS, firstWorker, secondWorker);
    ThriftTestClient stayingClient = connectClient();
    int sequenceId = 0;
    // Repeats until the router has a connection to each worker.
    while (firstWorker.executions().isEmpty() || secondWorker.executions().isEmpty()) {
      stayingClient.submit(++sequenceId, TestSubmit.idempotent(nextId()).function(sequenceId));
      assertThat(stayingClient.receiveReply().outcome()).isEqualTo(ReplyOutcome.SUCCEEDED);
    }
    ThriftTestClient leavingClient = connectClient();
    String id = nextId();
    leavingClient.submit(1, TestSubmit.idempotent(id).function(sequenceId).body("rejected"));
    await(
        () ->
            firstWorker.executions().size() + secondWorker.executions().size()
                > otherExecutions(firstWorker, secondWorker, id));
    int openBefore = router.openClientConnections();
    try (AutoCloseable gate = blockEventLoop()) {
      allowReply.countDown();
      replied.await();
      // Two heartbeats, as the first may be read before the reply.
      awaitMessagesRead(stayingClient, ++sequenceId);
      awaitMessagesRead(stayingClient, ++sequenceId);
      leavingClient.close();
      await(() -> router.openClientConnections() == openBefore - 1);
    }
    stayingClient.submit(++sequenceId, TestSubmit.idempotent(nextId()));
    assertThat(stayingClient.receiveReply().outcome()).isEqualTo(ReplyOutcome.SUCCEEDED);
    assertThat(
            firstWorker.executions().size()
                + secondWorker.executions().size()
                - otherExecutions(firstWorker, secondWorker, id))
        .isEqualTo(1);
  }

  private static int otherExecutions(
      RespTestServer firstWorker, RespTestServer secondWorker, String excludedId) {
    return (int)
        Stream.of(firstWorker, secondWorker)
            .flatMap(worker -> worker.executions().stream())
            .filter(command -> !command.id().equals(excludedId))
            .count();
  }

  /**
   * An attempt that has not been sent is dropped even if the settings do not allow the cancellation
   * of attempts.
   */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void dropsAttemptWaitingForConnectionWhenClientDisconnects(boolean mayCancel) throws Exception {
    settings =
        settings
            .replace("\"Cancel\":true", "\"Cancel\":" + mayCancel)
            .replace("\"DialTimeoutUs\":250000", "\"DialTimeoutUs\":5000000")
            .replace(
                "\"AimUs\":300000,\"DeadlineUs\":1000000",
                "\"AimUs\":4000000,\"DeadlineUs\":9000000");
    FullBacklogServer worker = new FullBacklogServer();
    resources.add(worker);
    startRouterWithWorkersAt(MANY_SOCKETS, worker.address());
    ThriftTestClient stayingClient = connectClient();
    ThriftTestClient leavingClient = connectClient();
    String dropped = nextId();
    String sent = nextId();
    leavingClient.submit(1, TestSubmit.idempotent(dropped).timeoutMillis(8000));
    await(() -> usage().pendingRequests() == 1 && usage().workerConnections() > 0);
    stayingClient.submit(1, TestSubmit.idempotent(sent).timeoutMillis(8000));
    await(() -> usage().pendingRequests() == 2);
    leavingClient.close();
    await(() -> usage().pendingRequests() == 1);
    worker.startAccepting();
    assertThat(worker.awaitReceived(sent, 6000)).isTrue();
    assertThat(worker.received()).doesNotContain(dropped);
  }

  /**
   * The router closes the old connection but reads the retry on the new one before its event loop
   * handles that close.
   */
  @Test
  void acceptsRequestRetriedOnNewConnection() throws Exception {
    RespTestServer worker =
        new RespTestServer(
            (command, output) ->
                (command.isExecution() && command.body().equals("first"))
                    || RespTestServer.executeAll(command, output));
    startRouter(MANY_SOCKETS, worker);
    ThriftTestClient oldClient = connectClient();
    ThriftTestClient newClient = connectClient();
    awaitMessagesRead(newClient, 1);
    String id = nextId();
    oldClient.submit(1, TestSubmit.idempotent(id).body("first"));
    await(() -> worker.executions().size() == 1);
    try (AutoCloseable gate = blockEventLoop()) {
      oldClient.submit(
          1, TestSubmit.idempotent(nextId()).body("reused sequence id, so the router closes"));
      awaitMessagesRead(oldClient, 2);
      newClient.submit(2, TestSubmit.idempotent(id).body("second"));
      awaitMessagesRead(newClient, 3);
    }
    assertThat(newClient.receiveReply().bodyText()).isEqualTo(id + ":second");
    assertThat(oldClient.receiveReply()).isNull();
  }

  private void assertServed(ThriftTestClient client, RespTestServer worker, int sequenceId)
      throws Exception {
    String id = nextId();
    client.submit(sequenceId, TestSubmit.idempotent(id).body("served"));
    assertThat(client.receiveReply().bodyText()).isEqualTo(id + ":served");
    assertThat(worker.executions().stream().filter(command -> command.id().equals(id))).hasSize(1);
  }
}

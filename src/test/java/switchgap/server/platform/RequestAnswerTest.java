package switchgap.server.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Which requests are answered at their deadline and after a revoke. */
class RequestAnswerTest extends PlatformFixture {
  /**
   * Guards against a request that was rejected on arrival but counts as pending until its
   * connection closes.
   */
  @Test
  void requestRejectedOnArrivalIsNotPending() throws Exception {
    startRouter(MANY_SOCKETS, RespTestServer.executingAll());
    ThriftTestClient client = connectClient();
    String id = nextId();
    client.submit(1, TestSubmit.idempotent(id).timeoutMillis(60).body("timeout too short"));
    assertThat(client.receiveReply().outcome()).isEqualTo(ReplyOutcome.REJECTED);
    assertThat(router.resourceUsage().pendingRequests()).isZero();
    client.submit(2, TestSubmit.idempotent(id).body("again"));
    assertThat(client.receiveReply().bodyText()).isEqualTo(id + ":again");
  }

  /** The tick that answers a request at its deadline may run late. */
  @Test
  void answersRequestWhoseDeadlinePassedWhileEventLoopWasBlocked() throws Exception {
    RespTestServer worker = RespTestServer.neverReplying();
    startRouter(MANY_SOCKETS, worker);
    ThriftTestClient client = connectClient();
    client.submit(1, TestSubmit.idempotent(nextId()).timeoutMillis(300));
    client.submit(
        2, TestSubmit.nonIdempotent(nextId()).timeoutMillis(300).function("00000000000000f2"));
    await(() -> worker.executions().size() == 2);
    ThriftTestClient lateClient = connectClient();
    try (AutoCloseable gate = blockEventLoop()) {
      lateClient.submit(1, TestSubmit.idempotent(nextId()).timeoutMillis(150).body("queued"));
      Thread.sleep(400); // longer than each timeout
    }
    assertThat(List.of(client.receiveReply().sequenceId(), client.receiveReply().sequenceId()))
        .containsExactlyInAnyOrder(1, 2);
    assertThat(lateClient.receiveReply().outcome()).isEqualTo(ReplyOutcome.REJECTED);
    assertThat(router.resourceUsage().pendingRequests()).isZero();
  }

  /** A client also sends a revoke when its timeout has expired, and still expects an answer. */
  @Test
  void answersQueuedRequestRevokedPastDeadline() throws Exception {
    startRouter(64, RespTestServer.executingAll());
    ThriftTestClient client = connectClient();
    awaitMessagesRead(client, 1);
    try (AutoCloseable gate = blockEventLoop()) {
      client.submit(2, TestSubmit.idempotent(nextId()).timeoutMillis(50));
      awaitMessagesRead(client, 3);
      Thread.sleep(100); // longer than the timeout
      client.revoke(4, 2);
      awaitMessagesRead(client, 5);
    }
    assertThat(client.receiveReply().sequenceId()).isEqualTo(2);
  }

  @Test
  void answersRequestInFlightRevokedPastDeadline() throws Exception {
    RespTestServer worker = RespTestServer.neverReplying();
    startRouter(64, worker);
    ThriftTestClient client = connectClient();
    client.submit(1, TestSubmit.idempotent(nextId()).timeoutMillis(150));
    await(() -> !worker.executions().isEmpty());
    try (AutoCloseable gate = blockEventLoop()) {
      Thread.sleep(250); // longer than the timeout
      client.revoke(2, 1);
      awaitMessagesRead(client, 3);
    }
    assertThat(client.receiveReply().sequenceId()).isEqualTo(1);
  }

  @Test
  void doesNotAnswerRequestRevokedBeforeDeadline() throws Exception {
    RespTestServer worker = RespTestServer.neverReplying();
    startRouter(64, worker);
    ThriftTestClient client = connectClient();
    client.submit(1, TestSubmit.idempotent(nextId()));
    await(() -> !worker.executions().isEmpty());
    client.revoke(2, 1);
    try (AutoCloseable gate = blockEventLoop()) {
      client.submit(3, TestSubmit.idempotent(nextId()));
      client.revoke(4, 3);
      awaitMessagesRead(client, 5);
    }
    Thread.sleep(200); // leaves time for a reply, which must not be sent
    awaitMessagesRead(client, 6); // fails if another reply precedes that to the heartbeat
  }
}

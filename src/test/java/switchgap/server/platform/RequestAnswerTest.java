package switchgap.server.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** The answers that requests are owed at their deadline and after a revoke. */
class RequestAnswerTest extends PlatformFixture {
  /** A request that was rejected on arrival once counted as pending until its connection closed. */
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

  /** The tick that answers a request at its deadline may come after the deadline. */
  @Test
  void answersRequestWhoseDeadlinePassedWhileEventLoopWasBlocked() throws Exception {
    RespTestServer worker = RespTestServer.neverReplying();
    startRouter(MANY_SOCKETS, worker);
    ThriftTestClient client = connectClient();
    client.submit(1, TestSubmit.idempotent(nextId()).timeoutMillis(300));
    client.submit(
        2, TestSubmit.nonIdempotent(nextId()).timeoutMillis(300).function("00000000000000f2"));
    await(() -> worker.executions().size() == 2);
    ThriftTestClient late = connectClient();
    try (AutoCloseable gate = blockEventLoop()) {
      late.submit(1, TestSubmit.idempotent(nextId()).timeoutMillis(150).body("queued"));
      Thread.sleep(400); // past each deadline
    }
    assertThat(List.of(client.receiveReply().sequenceId(), client.receiveReply().sequenceId()))
        .containsExactlyInAnyOrder(1, 2);
    assertThat(late.receiveReply().outcome()).isEqualTo(ReplyOutcome.REJECTED);
    assertThat(router.resourceUsage().pendingRequests()).isZero();
  }

  /** A client whose timeout has fired revokes its request, and is still owed the answer. */
  @Test
  void answersQueuedRequestRevokedPastDeadline() throws Exception {
    startRouter(64, RespTestServer.executingAll());
    ThriftTestClient client = connectClient();
    awaitMessagesRead(client, 1);
    try (AutoCloseable gate = blockEventLoop()) {
      client.submit(2, TestSubmit.idempotent(nextId()).timeoutMillis(50));
      awaitMessagesRead(client, 3);
      Thread.sleep(100); // past the deadline
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
      Thread.sleep(250); // past the deadline
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
    Thread.sleep(200); // time for a reply that must not come
    awaitMessagesRead(client, 6); // no other reply precedes it
  }
}

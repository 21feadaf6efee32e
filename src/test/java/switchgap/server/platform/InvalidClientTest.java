package switchgap.server.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

/** Clients that send unusable submits or invalid bytes. */
class InvalidClientTest extends PlatformFixture {
  @Test
  void failsUnusableSubmitWithoutAffectingRequestInFlight() throws Exception {
    CountDownLatch allowReply = new CountDownLatch(1);
    RespTestServer worker = RespTestServer.executingAfter(allowReply);
    startRouter(MANY_SOCKETS, worker);
    ThriftTestClient client = connectClient();
    ThriftTestClient invalid = connectClient();
    String id = nextId();
    client.submit(1, TestSubmit.idempotent(id).body("valid"));
    await(() -> !worker.executions().isEmpty());
    invalid.submit(1, TestSubmit.idempotent(id).body("another body under an id in flight"));
    assertThat(invalid.receiveReply().outcome()).isEqualTo(ReplyOutcome.FAILED);
    invalid.submit(2, TestSubmit.ofClass("nothing", nextId()));
    assertThat(invalid.receiveReply().outcome()).isEqualTo(ReplyOutcome.FAILED);
    invalid.submit(3, TestSubmit.idempotent(nextId()).body("x".repeat(16385)));
    assertThat(invalid.receiveReply().outcome()).isEqualTo(ReplyOutcome.FAILED);
    allowReply.countDown();
    assertThat(client.receiveReply().bodyText()).isEqualTo(id + ":valid");
    assertThat(worker.executions()).hasSize(1);
  }

  @Test
  void closesInvalidConnectionsAndKeepsValidOnes() throws Exception {
    startRouter(MANY_SOCKETS, RespTestServer.executingAll());
    ThriftTestClient valid = connectClient();
    valid.heartbeat(1);
    valid.receiveReply();
    for (int length : new int[] {-1, 0, 60_000_000, 32769}) {
      ThriftTestClient client = connectClient();
      client.sendBytes(ByteBuffer.allocate(8).putInt(length).putInt(7).array());
      assertThat(client.receiveReply()).as("length %d", length).isNull();
    }
    ThriftTestClient duplicate = connectClient();
    duplicate.submit(1, TestSubmit.idempotent(nextId()).function("00000000000000f2"));
    duplicate.submit(1, TestSubmit.idempotent(nextId()).function("00000000000000f2").body("y"));
    ThriftTestClient.Reply reply =
        duplicate.receiveReply(); // of the first submit, if it came before the second was read
    assertThat(reply == null || reply.sequenceId() == 1).isTrue();
    ThriftTestClient unreadable = connectClient();
    unreadable.sendBytes(
        ThriftTestClient.withLength("no thrift at all".getBytes(StandardCharsets.US_ASCII)));
    assertThat(unreadable.receiveReply()).isNull();
    ThriftTestClient silent = connectClient();
    ThriftTestClient partial = connectClient();
    partial.sendBytes(new byte[] {0, 0, 1, 0, 5});
    long startedNanos = System.nanoTime();
    assertThat(silent.receiveReply()).isNull();
    assertThat(partial.receiveReply()).isNull();
    assertThat((System.nanoTime() - startedNanos) / 1_000_000).isBetween(1000L, 3000L);
    valid.heartbeat(2);
    assertThat(valid.receiveReply().healthy()).isTrue();
  }
}

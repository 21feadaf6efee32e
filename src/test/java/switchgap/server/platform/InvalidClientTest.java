package switchgap.server.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

/** Clients that send invalid submits or bytes that are not a message. */
class InvalidClientTest extends PlatformFixture {
  @Test
  void failsInvalidSubmitWithoutAffectingRequestInFlight() throws Exception {
    CountDownLatch allowReply = new CountDownLatch(1);
    RespTestServer worker = RespTestServer.executingAfter(allowReply);
    startRouter(MANY_SOCKETS, worker);
    ThriftTestClient client = connectClient();
    ThriftTestClient invalidClient = connectClient();
    String id = nextId();
    client.submit(1, TestSubmit.idempotent(id).body("valid"));
    await(() -> !worker.executions().isEmpty());
    invalidClient.submit(1, TestSubmit.idempotent(id).body("another body under an id in flight"));
    assertThat(invalidClient.receiveReply().outcome()).isEqualTo(ReplyOutcome.FAILED);
    invalidClient.submit(2, TestSubmit.ofClass("nothing", nextId()));
    assertThat(invalidClient.receiveReply().outcome()).isEqualTo(ReplyOutcome.FAILED);
    invalidClient.submit(3, TestSubmit.idempotent(nextId()).body("x".repeat(16385)));
    assertThat(invalidClient.receiveReply().outcome()).isEqualTo(ReplyOutcome.FAILED);
    allowReply.countDown();
    assertThat(client.receiveReply().bodyText()).isEqualTo(id + ":valid");
    assertThat(worker.executions()).hasSize(1);
  }

  @Test
  void closesInvalidConnectionsAndKeepsValidOnes() throws Exception {
    startRouter(MANY_SOCKETS, RespTestServer.executingAll());
    ThriftTestClient validClient = connectClient();
    validClient.heartbeat(1);
    validClient.receiveReply();
    for (int length : new int[] {-1, 0, 60_000_000, 32769}) {
      ThriftTestClient client = connectClient();
      client.sendBytes(ByteBuffer.allocate(8).putInt(length).putInt(7).array());
      assertThat(client.receiveReply()).as("reply to a frame of length %d", length).isNull();
    }
    ThriftTestClient duplicateClient = connectClient();
    duplicateClient.submit(1, TestSubmit.idempotent(nextId()).function("00000000000000f2"));
    duplicateClient.submit(
        1, TestSubmit.idempotent(nextId()).function("00000000000000f2").body("y"));
    // The first submit may be answered before the second is read.
    ThriftTestClient.Reply reply = duplicateClient.receiveReply();
    assertThat(reply == null || reply.sequenceId() == 1).isTrue();
    ThriftTestClient unreadableClient = connectClient();
    unreadableClient.sendBytes(
        ThriftTestClient.withLengthPrefix("no thrift at all".getBytes(StandardCharsets.US_ASCII)));
    assertThat(unreadableClient.receiveReply()).isNull();
    ThriftTestClient silentClient = connectClient();
    ThriftTestClient partialClient = connectClient();
    partialClient.sendBytes(new byte[] {0, 0, 1, 0, 5});
    long startedNanos = System.nanoTime();
    assertThat(silentClient.receiveReply()).isNull();
    assertThat(partialClient.receiveReply()).isNull();
    assertThat((System.nanoTime() - startedNanos) / 1_000_000).isBetween(1000L, 3000L);
    validClient.heartbeat(2);
    assertThat(validClient.receiveReply().healthy()).isTrue();
  }
}

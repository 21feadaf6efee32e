package switchgap.server.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

/** The limit of requests in flight is shared by the connections. */
class InFlightShareTest extends PlatformFixture {
  private static final int MAX_OPEN = 1000; // in the test settings

  /**
   * Guards against one connection whose requests in flight use up the limit of all, so that those
   * of other clients are rejected (review case 2).
   */
  @Test
  void requestsInFlightOfOneConnectionLeaveCapacityForOthers() throws Exception {
    CountDownLatch allowReply = new CountDownLatch(1);
    startRouter(MANY_SOCKETS, RespTestServer.executingAfter(allowReply));
    ThriftTestClient flooding = connectClient();
    ByteArrayOutputStream requests = new ByteArrayOutputStream();
    for (int number = 1; number <= MAX_OPEN; number++) {
      requests.writeBytes(
          ThriftTestClient.submitFrame(
              number, TestSubmit.idempotent(nextId()).timeoutMillis(1900)));
    }
    flooding.sendBytes(requests.toByteArray());
    await(() -> usage().pendingRequests() + rejectedAtAdmission() >= MAX_OPEN);
    long rejectedBefore = rejectedAtAdmission();
    ThriftTestClient usual = connectClient();
    usual.submit(1, TestSubmit.idempotent(nextId()).timeoutMillis(1900));
    await(() -> usage().pendingRequests() + rejectedAtAdmission() > MAX_OPEN);
    assertThat(rejectedAtAdmission()).as("%s", router.events().counts()).isEqualTo(rejectedBefore);
    allowReply.countDown();
  }

  private long rejectedAtAdmission() {
    return count("TOO_MANY_OPEN") + count("NO_CAPACITY");
  }

  private long count(String answerReason) {
    return router.events().counts().getOrDefault("REQUEST_ANSWERED " + answerReason, 0L);
  }
}

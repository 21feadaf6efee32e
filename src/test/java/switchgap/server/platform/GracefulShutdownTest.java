package switchgap.server.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.Arrays;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

/** Graceful shutdown while requests and responses are in each stage of processing. */
class GracefulShutdownTest extends PlatformFixture {
  @Test
  void answersRequestsFromBeforeAndDuringShutdown() throws Exception {
    RespTestServer worker =
        new RespTestServer(
            (command, output) -> {
              if (command.isExecution()) {
                Thread.sleep(300);
              }
              return RespTestServer.executeAll(command, output);
            });
    PlatformRouter router = startRouter(MANY_SOCKETS, worker);
    ThriftTestClient client = connectClient();
    client.submit(1, TestSubmit.idempotent(nextId()).body("before"));
    Thread shutdown = beginShutdown();
    Thread.sleep(500); // shorter than the minimum drain duration
    ThriftTestClient lateClient = connectClient();
    lateClient.heartbeat(1);
    assertThat(lateClient.receiveReply().healthy()).isFalse();
    lateClient.submit(2, TestSubmit.idempotent(nextId()).body("after"));
    assertThat(client.receiveReply().outcome()).isEqualTo(ReplyOutcome.SUCCEEDED);
    assertThat(lateClient.receiveReply().outcome()).isEqualTo(ReplyOutcome.SUCCEEDED);
    assertEnds(shutdown);
    // the selector thread closes the listening socket, some milliseconds later on a busy machine
    await(() -> isConnectionRefused(router.port()));
  }

  private static boolean isConnectionRefused(int port) {
    try {
      new ThriftTestClient(port).close();
      return false;
    } catch (IOException e) {
      return true;
    }
  }

  private Thread beginShutdownAndAwaitUnhealthy() throws Exception {
    Thread thread = beginShutdown();
    try (ThriftTestClient client = new ThriftTestClient(router.port())) {
      for (int sequenceId = 1; ; sequenceId++) {
        client.heartbeat(sequenceId);
        if (!client.receiveReply().healthy()) {
          return thread;
        }
      }
    }
  }

  private static void assertEnds(Thread shutdown) throws InterruptedException {
    shutdown.join(5000);
    assertThat(shutdown.isAlive()).isFalse();
  }

  /** The rest of a partial message arrives after the minimum drain duration. */
  @Test
  void waitsForRestOfPartialRequest() throws Exception {
    startRouter(MANY_SOCKETS, RespTestServer.executingAll());
    ThriftTestClient client = connectClient();
    awaitMessagesRead(client, 1);
    String id = nextId();
    byte[] frame = ThriftTestClient.submitFrame(2, TestSubmit.idempotent(id));
    client.sendBytes(Arrays.copyOf(frame, 30));
    Thread shutdown = beginShutdownAndAwaitUnhealthy();
    Thread.sleep(1400); // between the minimum drain duration and the receive timeout
    client.sendBytes(Arrays.copyOfRange(frame, 30, frame.length));
    assertThat(client.receiveReply().bodyText()).isEqualTo(id + ":x");
    assertEnds(shutdown);
  }

  @Test
  void writesCompleteResponsesToSlowClient() throws Exception {
    RespTestServer worker =
        new RespTestServer(
            (command, output) -> {
              if (command.isExecution()) {
                RespTestServer.sendReply(
                    output,
                    command.id(),
                    RespTestServer.SUCCEEDED,
                    RespTestServer.NO_REPORT,
                    "y".repeat(16000));
                return true;
              }
              return RespTestServer.executeAll(command, output);
            });
    startRouter(MANY_SOCKETS, worker);
    // A small receive buffer holds few unread bytes.
    ThriftTestClient client = new ThriftTestClient(router.port(), 4096);
    resources.add(client);
    int sentCount = 0;
    // Repeats until responses wait to be written.
    while (router.resourceUsage().activeClientConnections() == 0
        || router.resourceUsage().pendingRequests() > 0) {
      assertThat(++sentCount).isLessThan(2000);
      int sequenceId = sentCount;
      client.submit(sequenceId, TestSubmit.idempotent(nextId()));
      await(() -> worker.executions().size() == sequenceId);
    }
    Thread shutdown = beginShutdownAndAwaitUnhealthy();
    Thread.sleep(1300); // longer than the minimum drain duration
    for (int number = 1; number <= sentCount; number++) {
      ThriftTestClient.Reply reply = client.receiveReply();
      assertThat(reply).as("reply %d to the slow client", number).isNotNull();
      assertThat(reply.body()).hasSize(16000);
    }
    assertEnds(shutdown);
  }

  /**
   * Requests whose timeout ends after the earliest possible SIGKILL are rejected or failed before
   * it.
   */
  @Test
  void rejectsOrFailsRequestsWhoseTimeoutEndsAfterEarliestKill() throws Exception {
    settings = settings.replace("\"DeadlineUs\":1000000", "\"DeadlineUs\":2900000");
    RespTestServer worker = RespTestServer.neverReplying();
    startRouter(MANY_SOCKETS, worker);
    ThriftTestClient client = connectClient();
    client.submit(1, TestSubmit.idempotent(nextId()).timeoutMillis(5800));
    await(() -> worker.executions().size() == 1);
    long startedNanos = System.nanoTime();
    Thread.sleep(100);
    Thread shutdown = beginShutdownAndAwaitUnhealthy();
    Thread.sleep(500); // shorter than the minimum drain duration
    ThriftTestClient lateClient = connectClient();
    // The process exits before this timeout.
    lateClient.submit(1, TestSubmit.idempotent(nextId()).timeoutMillis(5800));
    assertThat(client.receiveReply().outcome()).isIn(ReplyOutcome.REJECTED, ReplyOutcome.FAILED);
    assertThat(lateClient.receiveReply().outcome())
        .isIn(ReplyOutcome.REJECTED, ReplyOutcome.FAILED);
    assertEnds(shutdown);
    // The earliest SIGKILL is 3.7 s after SIGTERM.
    assertThat((System.nanoTime() - startedNanos) / 1_000_000).isLessThan(3700 + 100);
  }

  @Test
  void doesNotWaitForIdleConnections() throws Exception {
    startRouter(MANY_SOCKETS, RespTestServer.executingAll());
    ThriftTestClient client = connectClient();
    client.submit(1, TestSubmit.idempotent(nextId()).timeoutMillis(60).body("rejected on arrival"));
    assertThat(client.receiveReply().outcome()).isEqualTo(ReplyOutcome.REJECTED);
    long startedNanos = System.nanoTime();
    assertEnds(beginShutdownAndAwaitUnhealthy());
    assertThat((System.nanoTime() - startedNanos) / 1_000_000).isLessThan(2000);
    assertThat(client.receiveReply()).isNull();
  }

  /**
   * A request has been read and is queued for the event loop while the shutdown checks for active
   * connections.
   */
  @Test
  void answersRequestQueuedForEventLoopDuringShutdown() throws Exception {
    CountDownLatch allowReply = new CountDownLatch(1);
    RespTestServer worker = RespTestServer.executingAfter(allowReply);
    startRouter(MANY_SOCKETS, worker);
    ThriftTestClient firstClient = connectClient();
    ThriftTestClient secondClient = connectClient();
    awaitMessagesRead(secondClient, 1);
    firstClient.submit(1, TestSubmit.idempotent(nextId()));
    await(() -> worker.executions().size() == 1);
    Thread shutdown = beginShutdownAndAwaitUnhealthy();
    try (AutoCloseable gate = blockEventLoop()) {
      secondClient.submit(2, TestSubmit.idempotent(nextId()).body("y"));
      awaitMessagesRead(secondClient, 3);
    }
    allowReply.countDown();
    assertThat(firstClient.receiveReply().outcome()).isEqualTo(ReplyOutcome.SUCCEEDED);
    assertThat(secondClient.receiveReply().outcome()).isEqualTo(ReplyOutcome.SUCCEEDED);
    assertEnds(shutdown);
  }
}

package switchgap.server.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.Test;

/** Requests that workers deduplicate for 1 s only. */
class DeduplicationWindowTest extends PlatformFixture {
  private static final long WINDOW_MILLIS = 1000;

  /** Time before the end of the window at which the first attempt is lost. */
  private static final long LOST_BEFORE_END_MILLIS = 100;

  private static final long MAX_ANSWER_DELAY_MILLIS = 150;
  private static final long TIMEOUT_MILLIS = 5000;

  /** The kernel repeats a connection request that met a full backlog after 1 s and after 3 s. */
  private static final long CONNECT_RETRY_MILLIS = 3500;

  /**
   * Guards against a repeat that is decided within the window, waits for a connection, and is
   * written after the workers have forgotten the request, so that it is executed twice (review case
   * 3). The request is answered when the window ends, as it can't be sent any more.
   */
  @Test
  void sendsNoRepeatThatWaitedForConnectionPastTheWindow() throws Exception {
    settings =
        settings
            .replace("\"IfCold\":\"miss\"", "\"IfCold\":\"load\"")
            .replace("\"DialTimeoutUs\":250000", "\"DialTimeoutUs\":5000000")
            .replace("\"DeadlineUs\":1000000", "\"DeadlineUs\":9000000");
    CountDownLatch received = new CountDownLatch(1);
    RespTestServer first =
        new RespTestServer(
            (command, output) -> {
              if (!command.isExecution()) {
                return RespTestServer.executeAll(command, output);
              }
              received.countDown();
              Thread.sleep(WINDOW_MILLIS - LOST_BEFORE_END_MILLIS);
              return false; // closes the connection without a reply
            });
    FullBacklogServer second = new FullBacklogServer();
    resources.add(second);
    startRouter(MANY_SOCKETS, first);
    ThriftTestClient client = connectClient();
    String id = nextId();
    client.submit(1, TestSubmit.ofClass(TestSubmit.KEYED_CLASS, id).timeoutMillis(TIMEOUT_MILLIS));
    received.await();
    long sentNanos = System.nanoTime();
    eventStream.sendEvent(
        EventStreamTestServer.endpointListEvent(
            2, false, EventStreamTestServer.servingEndpoint("second", second.address())));

    acceptAfterWindow(second);
    ThriftTestClient.Reply reply = client.receiveReply();
    long answeredMillis = (System.nanoTime() - sentNanos) / 1_000_000;

    assertThat(second.awaitReceived(id, CONNECT_RETRY_MILLIS)).as("sent a second time").isFalse();
    assertThat(reply.outcome()).isEqualTo(ReplyOutcome.REJECTED);
    assertThat(answeredMillis).isLessThan(WINDOW_MILLIS + MAX_ANSWER_DELAY_MILLIS);
    assertThat(usage().pendingRequests()).isZero();
  }

  /** Makes the worker accept connections from some time after the end of the window on. */
  private void acceptAfterWindow(FullBacklogServer worker) {
    Thread thread =
        new Thread(
            () -> {
              LockSupport.parkNanos((WINDOW_MILLIS + MAX_ANSWER_DELAY_MILLIS) * 1_000_000);
              worker.startAccepting();
            });
    thread.start();
    resources.add(0, thread::join);
  }
}

package switchgap.server.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Forwarding of requests to workers, and of replies to clients. */
class RequestForwardingTest extends PlatformFixture {
  @Test
  void repliesInCompletionOrderAndForwardsFieldsAndBody() throws Exception {
    RespTestServer worker =
        new RespTestServer(
            (command, output) -> {
              if (!command.isExecution() || !command.body().equals("slow")) {
                return RespTestServer.executeAll(command, output);
              }
              new Thread(() -> executeLater(command, output)).start();
              return true;
            });
    startRouter(MANY_SOCKETS, worker);
    ThriftTestClient client = connectClient();
    client.heartbeat(1);
    assertThat(client.receiveReply().healthy()).isTrue();
    String first = nextId();
    String second = nextId();
    client.submit(2, TestSubmit.idempotent(first).body("immediate"));
    assertThat(client.receiveReply().bodyText()).isEqualTo(first + ":immediate");
    client.submit(3, TestSubmit.nonIdempotent(second).body("slow"));
    String third = nextId();
    client.submit(4, TestSubmit.idempotent(third).body("\r\n$3\r\n"));
    assertThat(client.receiveReply())
        .satisfies(
            reply -> {
              assertThat(reply.sequenceId()).isEqualTo(4);
              assertThat(reply.bodyText()).isEqualTo(third + ":\r\n$3\r\n");
            });
    assertThat(client.receiveReply())
        .satisfies(reply -> assertThat(reply.bodyText()).isEqualTo(second + ":slow"));
    assertThat(worker.executions().get(1).options())
        .startsWith("profile=once,thing=" + FUNCTION + ",max=");
    client.callUnknownMethod(5);
    assertThat(client.receiveReply().outcome()).isEqualTo(ReplyOutcome.APPLICATION_EXCEPTION);
  }

  private static void executeLater(RespTestServer.Command command, OutputStream output) {
    try {
      Thread.sleep(150);
      RespTestServer.executeAll(command, output);
    } catch (IOException | InterruptedException e) {
      return; // the test fails as the reply is missing
    }
  }

  @Test
  void loadsReplicaOnMissAndSendsOneReplyPerRequest() throws Exception {
    AtomicBoolean isLoaded = new AtomicBoolean();
    RespTestServer worker =
        new RespTestServer(
            (command, output) -> {
              if (command.name().equals(RespTestServer.LOAD)) {
                isLoaded.set(true);
              }
              if (command.isExecution() && !isLoaded.get()) {
                RespTestServer.sendReply(
                    output, command.id(), RespTestServer.NOT_LOADED, RespTestServer.NO_REPORT, "");
                return true;
              }
              RespTestServer.executeAll(command, output);
              // Sends a duplicate reply and one with an unknown request id.
              if (command.isExecution()) {
                RespTestServer.executeAll(command, output);
                RespTestServer.sendReply(
                    output,
                    "ffffffffffffffff",
                    RespTestServer.SUCCEEDED,
                    RespTestServer.NO_REPORT,
                    "ahead");
              }
              return true;
            });
    startRouter(MANY_SOCKETS, worker);
    ThriftTestClient client = connectClient();
    for (int sequenceId = 1; sequenceId <= 4; sequenceId++) {
      String id = nextId();
      client.submit(sequenceId, TestSubmit.idempotent(id).body("x" + sequenceId));
      assertThat(client.receiveReply().bodyText()).isEqualTo(id + ":x" + sequenceId);
    }
    assertThat(worker.received(RespTestServer.LOAD).get(0).options())
        .isEqualTo("thing=" + FUNCTION + ",count=1");
    client.heartbeat(9);
    // Fails if another reply precedes that to the heartbeat.
    assertThat(client.receiveReply().sequenceId()).isEqualTo(9);
  }

  /**
   * The worker fails, disconnects, sends invalid bytes or never replies, so it may have executed
   * the request.
   */
  @ParameterizedTest
  @ValueSource(strings = {"failed", "close", "noise", "silent", "huge"})
  void failsNonIdempotentRequestThatMayHaveBeenExecuted(String workerFault) throws Exception {
    RespTestServer.CommandHandler faulty =
        (command, output) -> {
          if (!command.isExecution()) {
            return RespTestServer.executeAll(command, output);
          }
          switch (workerFault) {
            case "failed" ->
                RespTestServer.sendReply(
                    output, command.id(), RespTestServer.FAILED, RespTestServer.NO_REPORT, "");
            case "noise" -> output.write("?!%\r\n".getBytes(StandardCharsets.US_ASCII));
            case "huge" -> output.write("*4\r\n$16\r\n".getBytes(StandardCharsets.US_ASCII));
            default -> {}
          }
          if (workerFault.equals("huge")) {
            output.write(
                (command.id() + "\r\n$4\r\ndata\r\n$1\r\n-\r\n$3000000000\r\n")
                    .getBytes(StandardCharsets.US_ASCII));
          }
          return !workerFault.equals("close");
        };
    RespTestServer firstWorker = new RespTestServer(faulty);
    RespTestServer secondWorker = new RespTestServer(faulty);
    startRouter(MANY_SOCKETS, firstWorker, secondWorker);
    ThriftTestClient client = connectClient();
    client.submit(1, TestSubmit.nonIdempotent(nextId()).timeoutMillis(500));
    assertThat(client.receiveReply().outcome()).isEqualTo(ReplyOutcome.FAILED);
    Thread.sleep(100); // leaves time for a retry, which must not be sent
    assertThat(firstWorker.executions().size() + secondWorker.executions().size()).isEqualTo(1);
  }

  /**
   * All attempts of a request have the same id on the wire, so they must not share a connection.
   */
  @Test
  void sendsRetryOnAnotherConnection() throws Exception {
    RespTestServer worker =
        new RespTestServer(
            (command, output) -> {
              if (command.isExecution() && command.body().equals("retried")) {
                RespTestServer.sendReply(
                    output, command.id(), RespTestServer.NOT_LOADED, RespTestServer.NO_REPORT, "");
                return true;
              }
              return RespTestServer.executeAll(command, output);
            });
    startRouter(MANY_SOCKETS, worker);
    ThriftTestClient client = connectClient();
    client.submit(1, TestSubmit.idempotent(nextId()).body("retried"));
    assertThat(client.receiveReply().outcome()).isEqualTo(ReplyOutcome.REJECTED);
    List<RespTestServer.Command> attempts = worker.executions();
    assertThat(attempts).hasSizeGreaterThan(1);
    assertThat(attempts.stream().map(RespTestServer.Command::connection).distinct().count())
        .isEqualTo(attempts.size());
  }
}

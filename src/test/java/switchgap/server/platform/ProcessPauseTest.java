package switchgap.server.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import switchgap.testbed.soak.SystemCallFaults.Call;
import switchgap.testbed.soak.SystemCallFaults.ErrorNumber;

/** The process is suspended, or only its accepts fail, while requests wait to be read. */
class ProcessPauseTest extends SystemCallFaultFixture {
  private static final long TIMEOUT_MILLIS = 900;
  private static final long TIME_IN_BACKLOG_MILLIS = 700;
  private static final long PAUSE_MILLIS = 400;

  /** Maximum by which a worker's timeout may exceed the client's remaining time. */
  private static final long TIMEOUT_SLACK_MILLIS = 150;

  /**
   * Complete requests arrive while the process is suspended for longer than the receive timeout.
   * They must be read before the timeout is checked.
   */
  @Test
  void readsRequestsReceivedDuringPauseBeforeCheckingReceiveTimeout() throws Exception {
    try (RespTestServer worker = RespTestServer.executingAll()) {
      int port = startAndAwaitServing(worker);
      for (int round = 0; round < 3; round++) {
        List<ThriftTestClient> clients = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
          clients.add(new ThriftTestClient(port));
        }
        Thread.sleep(100); // all connections are accepted by then
        suspend();
        Thread.sleep(2100); // longer than the receive timeout
        for (ThriftTestClient client : clients) {
          client.submit(1, TestSubmit.idempotent(nextId()).timeoutMillis(1900));
        }
        signal("CONT");
        for (ThriftTestClient client : clients) {
          assertThat(client.receiveReply())
              .as("reply, null if the router closed the connection: " + processLog())
              .isNotNull();
          client.close();
        }
      }
    }
  }

  private static long timeoutMillis(RespTestServer.Command command) {
    return Long.parseLong(command.options().replaceAll(".*max=(\\d+).*", "$1"));
  }

  /**
   * Guards against a worker timeout that ignores the client's time in the accept backlog and
   * exceeds the client's remaining time.
   */
  @Test
  void deductsTimeInAcceptBacklogFromTimeout() throws Exception {
    assertTimeInAcceptBacklogIsDeducted(faults::clear);
  }

  /**
   * The first byte is read immediately, the others in later reads, although all of them have waited
   * equally long.
   */
  @Test
  void deductsTimeInAcceptBacklogFromTimeoutOfMessageReadByteByByte() throws Exception {
    assertTimeInAcceptBacklogIsDeducted(
        () -> {
          faults.inject(Call.READ, ErrorNumber.SHORT, 1);
          faults.inject(Call.ACCEPT, ErrorNumber.ENFILE, 0);
        });
  }

  private interface Recovery {
    void run() throws Exception;
  }

  private void assertTimeInAcceptBacklogIsDeducted(Recovery restoreAccepts) throws Exception {
    try (RespTestServer worker = RespTestServer.executingAll()) {
      int port = startAndWarmUp(worker);
      int executionsBefore = worker.executions().size();
      faults.inject(Call.ACCEPT, ErrorNumber.ENFILE, 1);
      try (ThriftTestClient lateClient = new ThriftTestClient(port)) {
        lateClient.submit(
            1, TestSubmit.idempotent("00000000000000aa").timeoutMillis(TIMEOUT_MILLIS));
        Thread.sleep(TIME_IN_BACKLOG_MILLIS);
        restoreAccepts.run();
        assertThat(lateClient.receiveReply()).as(processLog()).isNotNull();
      }
      for (RespTestServer.Command command :
          worker.executions().subList(executionsBefore, worker.executions().size())) {
        assertThat(timeoutMillis(command))
            .isLessThanOrEqualTo(TIMEOUT_MILLIS - TIME_IN_BACKLOG_MILLIS + TIMEOUT_SLACK_MILLIS);
      }
    }
  }

  /** After SIGCONT the selector's wait returns as interrupted, without any readable connection. */
  @Test
  void deductsPauseFromTimeout() throws Exception {
    try (RespTestServer worker = RespTestServer.executingAll()) {
      int port = startAndWarmUp(worker);
      for (int round = 0; round < 5; round++) {
        ThriftTestClient client = connectUntilServed(port);
        Thread.sleep(20L * round);
        int executionsBefore = worker.executions().size();
        suspend();
        client.submit(2, TestSubmit.idempotent(nextId()).timeoutMillis(TIMEOUT_MILLIS));
        Thread.sleep(PAUSE_MILLIS);
        signal("CONT");
        assertThat(client.receiveReply()).as(processLog()).isNotNull();
        for (RespTestServer.Command command :
            worker.executions().subList(executionsBefore, worker.executions().size())) {
          assertThat(timeoutMillis(command))
              .as("timeout in ms that the worker received in round %d", round)
              .isLessThanOrEqualTo(TIMEOUT_MILLIS - PAUSE_MILLIS + TIMEOUT_SLACK_MILLIS);
        }
      }
    }
  }
}

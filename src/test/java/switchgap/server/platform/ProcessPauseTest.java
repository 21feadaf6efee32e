package switchgap.server.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import switchgap.testbed.soak.SystemCallFaults.Call;
import switchgap.testbed.soak.SystemCallFaults.ErrorNumber;

/** The process, or only its accepts, pause: requests that it has not read yet grow old. */
class ProcessPauseTest extends SystemCallFaultFixture {
  private static final long TIMEOUT_MILLIS = 900;
  private static final long TIME_IN_BACKLOG_MILLIS = 700;
  private static final long PAUSE_MILLIS = 400;

  /** By which a worker's timeout may exceed the time that the client has left. */
  private static final long TIMEOUT_SLACK_MILLIS = 150;

  /** Complete requests arrive while the process is stopped, past the receive timeout. */
  @Test
  void readsRequestsReceivedDuringPauseBeforeTimeouts() throws Exception {
    try (RespTestServer worker = RespTestServer.executingAll()) {
      int port = startAndAwaitServing(worker);
      for (int round = 0; round < 3; round++) {
        List<ThriftTestClient> clients = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
          clients.add(new ThriftTestClient(port));
        }
        Thread.sleep(100); // until all are accepted
        suspend();
        Thread.sleep(2100); // past the receive timeout
        for (ThriftTestClient client : clients) {
          client.submit(1, TestSubmit.idempotent(nextId()).timeoutMillis(1900));
        }
        signal("CONT");
        for (ThriftTestClient client : clients) {
          assertThat(client.receiveReply())
              .as("an answer instead of a close: " + processLog())
              .isNotNull();
          client.close();
        }
      }
    }
  }

  private static long timeoutMillis(RespTestServer.Command command) {
    return Long.parseLong(command.options().replaceAll(".*max=(\\d+).*", "$1"));
  }

  /** No worker is given more time than the client, which waited in the accept backlog, has left. */
  @Test
  void deductsTimeInAcceptBacklogFromTimeout() throws Exception {
    assertTimeInAcceptBacklogIsDeducted(faults::clear);
  }

  /** Its first bytes are read at once, its last ones in later rounds: all have waited as long. */
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

  /** SIGCONT interrupts the selector's wait, which then reports no readable connection. */
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
              .as("round %d", round)
              .isLessThanOrEqualTo(TIMEOUT_MILLIS - PAUSE_MILLIS + TIMEOUT_SLACK_MILLIS);
        }
      }
    }
  }
}

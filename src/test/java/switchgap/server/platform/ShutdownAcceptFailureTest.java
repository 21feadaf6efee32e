package switchgap.server.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import switchgap.testbed.soak.SystemCallFaults.Call;
import switchgap.testbed.soak.SystemCallFaults.ErrorNumber;

/**
 * Guards against clients that wait in the kernel's accept queue when the listener closes: accepts
 * fail, or are interrupted, from before SIGTERM until after the time at which the listener would
 * close, and the close resets the clients with the requests that they have sent.
 */
class ShutdownAcceptFailureTest extends SystemCallFaultFixture {
  private static final int CLIENT_COUNT = 30;

  /** Clients connect for 0.4 s after SIGTERM. */
  private static final int CONNECT_INTERVAL_MILLIS = 10;

  /** Clients send for 0.2 s after they connect. The listener closes 0.7 s after SIGTERM. */
  private static final int FAILURE_MILLIS_AFTER_CONNECTS = 700;

  private static final int REQUEST_TIMEOUT_MILLIS = 2900;

  @ParameterizedTest
  @EnumSource(names = {"ENFILE", "EINTR", "ECONNABORTED", "ENOBUFS"})
  void answersClientsThatConnectedWhileAcceptsFailed(ErrorNumber error) throws Exception {
    settings = settings.replace("\"DeadlineUs\":1000000", "\"DeadlineUs\":3000000");
    List<ThriftTestClient> clients = new ArrayList<>();
    try (RespTestServer worker = RespTestServer.executingAll()) {
      int port = startAndWarmUp(worker);
      faults.inject(Call.ACCEPT, error, 1);
      signal("TERM");
      for (int i = 0; i < CLIENT_COUNT; i++) {
        ThriftTestClient client = new ThriftTestClient(port);
        resources.add(client);
        String id = String.format("%016x", 0xa000 + i);
        client.submit(1, TestSubmit.idempotent(id).timeoutMillis(REQUEST_TIMEOUT_MILLIS));
        clients.add(client);
        Thread.sleep(CONNECT_INTERVAL_MILLIS);
      }
      Thread.sleep(FAILURE_MILLIS_AFTER_CONNECTS);
      faults.clear();
      int answered = 0;
      for (ThriftTestClient client : clients) {
        answered += isAnswered(client) ? 1 : 0;
      }
      assertThat(answered).as("answered requests, %s", processLog()).isEqualTo(CLIENT_COUNT);
      assertThat(faults.affectedCalls(Call.ACCEPT)).isPositive();
      awaitCleanExit();
    }
  }

  private static boolean isAnswered(ThriftTestClient client) {
    try {
      return client.receiveReply() != null;
    } catch (Exception e) {
      return false; // the connection was reset
    }
  }
}

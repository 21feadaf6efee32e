package switchgap.server.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.Test;

/** A flood of requests against the router with the heap of the deployment. */
class ClientFloodProcessTest extends PlatformProcessFixture {
  private static final int MAX_SOCKETS = 1024;
  private static final int FLOODING_CONNECTIONS = 120;
  private static final int USUAL_CONNECTIONS = 20;
  private static final int REQUESTS_PER_CONNECTION = 60;
  private static final long REQUEST_INTERVAL_MILLIS = 100;
  private static final double MIN_SERVED_SHARE = 0.9;

  /**
   * Sends one request after the other on one connection; returns the number that succeeded. Fails
   * if a request gets no reply.
   */
  private static int succeededRequests(int port, int client) throws Exception {
    int succeeded = 0;
    try (ThriftTestClient connection = new ThriftTestClient(port)) {
      for (int number = 1; number <= REQUESTS_PER_CONNECTION; number++) {
        Thread.sleep(REQUEST_INTERVAL_MILLIS);
        String id = String.format("%08x%08x", client, number);
        connection.submit(number, TestSubmit.idempotent(id).timeoutMillis(1500));
        ThriftTestClient.Reply reply = connection.receiveReply();
        assertThat(reply).as("reply to request %d of client %d", number, client).isNotNull();
        succeeded += reply.outcome() == ReplyOutcome.SUCCEEDED ? 1 : 0;
      }
    }
    return succeeded;
  }

  /**
   * Guards against a flood of small requests that exhausts the heap, so that the process exits, and
   * against one that takes the router's queue from other clients (review case 2).
   */
  @Test
  void servesUsualClientsWithinHeapWhileOthersFlood() throws Exception {
    jvmOptions = deployedJvmOptions();
    ExecutorService usualClients = Executors.newFixedThreadPool(USUAL_CONNECTIONS);
    resources.add(usualClients::shutdownNow);
    try (RespTestServer worker = RespTestServer.executingAll()) {
      startProcess(MAX_SOCKETS, worker);
      int port = awaitServingPort();
      int succeeded = 0;
      try (FloodingClients flood = new FloodingClients(port, FLOODING_CONNECTIONS)) {
        List<Callable<Integer>> clients = new ArrayList<>();
        for (int i = 1; i <= USUAL_CONNECTIONS; i++) {
          int client = i;
          clients.add(() -> succeededRequests(port, client));
        }
        for (Future<Integer> result : usualClients.invokeAll(clients)) {
          succeeded += result.get();
        }
        assertThat(process.isAlive()).as(processLog()).isTrue();
        assertThat(flood.closedByRouter()).as("flooding connections closed").isZero();
      }
      double servedShare = (double) succeeded / (USUAL_CONNECTIONS * REQUESTS_PER_CONNECTION);
      assertThat(servedShare).as("share served").isGreaterThan(MIN_SERVED_SHARE);
    }
  }
}

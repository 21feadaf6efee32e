package switchgap.protocol.inference;

import static org.assertj.core.api.Assertions.assertThat;
import static switchgap.testing.BoundedWait.until;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import switchgap.net.HttpClientConnection;
import switchgap.net.HttpClientConnector;
import switchgap.net.NetworkTransport;
import switchgap.policy.api.AttemptOutcome;
import switchgap.router.WorkerEntry;
import switchgap.server.gateway.HttpTestServer;

/**
 * Checks race conditions of an exchange: steps that two threads can run concurrently are run here
 * one after the other, in the order that causes a failure.
 */
class InferenceExchangeTest {
  private static final int MAX_BODY_BYTES = 1024;
  private static final HttpPoolLimits ONE_CONNECTION =
      new HttpPoolLimits(1, 10, Duration.ofSeconds(1), Duration.ofSeconds(30));

  private static HttpConnectionPool pool(NetworkTransport net, HttpTestServer worker) {
    return new HttpConnectionPool(
        new HttpClientConnector(net, null, MAX_BODY_BYTES),
        new InetSocketAddress("127.0.0.1", worker.port()),
        ONE_CONNECTION);
  }

  /**
   * Guards against a connection that stays occupied forever. The event loop abandons the exchange
   * between the writer thread's check and its write, so no later event would release the
   * connection.
   */
  @Test
  void anExchangeAbandonedJustBeforeItIsSentReleasesItsConnection() throws Exception {
    List<String> outcomes = new CopyOnWriteArrayList<>();
    try (NetworkTransport net = new NetworkTransport(1, "exchange-test");
        HttpTestServer worker =
            new HttpTestServer(
                (request, out) ->
                    request.line().contains("/first")
                        ? HttpTestServer.silent(request, out)
                        : HttpTestServer.echo(request, out))) {
      HttpConnectionPool pool = pool(net, worker);
      CompletableFuture<AttemptOutcome> abandonOutcome = new CompletableFuture<>();
      InferenceExchange first =
          new RecordingExchange(pool, outcomes, "/first") {
            @Override
            synchronized boolean assign(HttpClientConnection free) {
              boolean assigned = super.assign(free);
              abandonOutcome.complete(abandon());
              return assigned;
            }
          };
      first.submit();
      // TIMED_OUT, since the exchange may have been sent.
      assertThat(abandonOutcome.get(2, TimeUnit.SECONDS)).isEqualTo(AttemptOutcome.TIMED_OUT);
      new RecordingExchange(pool, outcomes, "/second").submit();
      until(() -> !outcomes.isEmpty());
      assertThat(outcomes).containsExactly("replied 200");
    }
  }

  /**
   * Guards against a worker that is reported as unreachable although it has an open connection. The
   * exchange is abandoned while it still waits for a writer thread.
   */
  @Test
  void anExchangeAbandonedBeforeItIsSubmittedIsNotAConnectFailure() throws Exception {
    List<String> outcomes = new CopyOnWriteArrayList<>();
    try (NetworkTransport net = new NetworkTransport(1, "exchange-test");
        HttpTestServer worker = new HttpTestServer(HttpTestServer::echo)) {
      HttpConnectionPool pool = pool(net, worker);
      new RecordingExchange(pool, outcomes, "/first").submit();
      until(() -> !outcomes.isEmpty());
      assertThat(pool.openConnections()).isEqualTo(1);
      InferenceExchange second = new RecordingExchange(pool, outcomes, "/second");
      assertThat(second.abandon()).isEqualTo(AttemptOutcome.NOT_SENT);
    }
  }

  private static class RecordingExchange extends InferenceExchange {
    private final List<String> outcomes;

    RecordingExchange(HttpConnectionPool pool, List<String> outcomes, String path) {
      super(
          new WorkerEntry("w", "127.0.0.1", 1, 0),
          pool,
          new InferenceRequest("GET", path, Map.of(), new byte[0]),
          NO_DEADLINE);
      this.outcomes = outcomes;
    }

    @Override
    void onNotSent(AttemptOutcome outcome) {
      outcomes.add("not sent " + outcome);
    }

    @Override
    void onReply(int status, Map<String, String> headers, byte[] body) {
      outcomes.add("replied " + status);
    }

    @Override
    void onConnectionLost() {
      outcomes.add("lost");
    }
  }
}

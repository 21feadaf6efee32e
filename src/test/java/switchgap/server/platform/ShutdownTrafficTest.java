package switchgap.server.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Clients continue to send requests on open connections until SIGKILL, which follows SIGTERM as
 * early as the platform allows. The router must still answer every request that it has accepted.
 */
class ShutdownTrafficTest extends PlatformProcessFixture {
  private static final int CLIENT_COUNT = 12;
  private static final int TRAFFIC_BEFORE_SIGTERM_MILLIS = 700;
  private static final int MAX_ASSUMED_TIMEOUT_MILLIS = 3000;
  private static final int KILL_MARGIN_MILLIS = 700;

  /**
   * If its connection closes within this time after the send, a request was in transit at the
   * close, and its client resends it.
   */
  private static final long CLOSE_RACE_NANOS = 50_000_000;

  private final AtomicInteger lastRequestNumber = new AtomicInteger();
  private final AtomicInteger servedAfterSigterm = new AtomicInteger();
  private final List<String> lostRequests = new CopyOnWriteArrayList<>();
  private volatile long sigtermNanos;
  private int port;

  @ParameterizedTest
  @ValueSource(ints = {500, 1500, 3000, 5000})
  void answersEveryRequestUntilEarliestKill(int timeoutMillis) throws Exception {
    startServing(timeoutMillis);
    List<Thread> clients = startClients(timeoutMillis);
    Thread.sleep(TRAFFIC_BEFORE_SIGTERM_MILLIS);
    sigtermNanos = System.nanoTime();
    signal("TERM");
    boolean exited = process.waitFor(millisUntilEarliestKill(timeoutMillis), TimeUnit.MILLISECONDS);
    process.destroyForcibly().waitFor();
    for (Thread client : clients) {
      client.join();
    }
    assertThat(lostRequests)
        .as("requests without an answer (process exited before SIGKILL: %s)", exited)
        .isEmpty();
    assertThat(servedAfterSigterm.get()).as("requests served after SIGTERM").isPositive();
  }

  /** Further signals during the shutdown have no effect on it. */
  @ParameterizedTest
  @ValueSource(ints = {1500})
  void answersEveryRequestThroughSeriesOfSignals(int timeoutMillis) throws Exception {
    startServing(timeoutMillis);
    List<Thread> clients = startClients(timeoutMillis);
    Thread.sleep(TRAFFIC_BEFORE_SIGTERM_MILLIS);
    sigtermNanos = System.nanoTime();
    for (String name : List.of("HUP", "TERM", "HUP", "TERM", "INT")) {
      signal(name);
      Thread.sleep(TRAFFIC_BEFORE_SIGTERM_MILLIS / 5);
    }
    long elapsedMillis = (System.nanoTime() - sigtermNanos) / 1_000_000;
    process.waitFor(millisUntilEarliestKill(timeoutMillis) - elapsedMillis, TimeUnit.MILLISECONDS);
    process.destroyForcibly().waitFor();
    for (Thread client : clients) {
      client.join();
    }
    assertThat(lostRequests).as("requests without an answer").isEmpty();
  }

  /** The shortest time from SIGTERM to SIGKILL on the platform for settings with this timeout. */
  private static int millisUntilEarliestKill(int timeoutMillis) {
    return Math.min(timeoutMillis, MAX_ASSUMED_TIMEOUT_MILLIS) + KILL_MARGIN_MILLIS;
  }

  private void startServing(int timeoutMillis) throws Exception {
    settings =
        settings.replace("\"DeadlineUs\":1000000", "\"DeadlineUs\":" + timeoutMillis * 1000L);
    RespTestServer worker =
        new RespTestServer(
            (command, output) -> {
              if (command.isExecution()) {
                Thread.sleep(timeoutMillis * 3L / 10 / CLIENT_COUNT);
              }
              return RespTestServer.executeAll(command, output);
            });
    resources.add(worker);
    startProcess(MANY_SOCKETS, worker);
    port = awaitServingPort();
  }

  private List<Thread> startClients(int timeoutMillis) {
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < CLIENT_COUNT; i++) {
      Thread client = new Thread(() -> sendUntilRefused(timeoutMillis), "client-" + i);
      client.start();
      clients.add(client);
    }
    return clients;
  }

  /**
   * Sends requests on one connection at a time, and reconnects when it closes, until connections
   * are refused.
   */
  private void sendUntilRefused(int timeoutMillis) {
    String idToResend = null;
    while (true) {
      try (ThriftTestClient client = new ThriftTestClient(port)) {
        idToResend = sendUntilClosed(client, timeoutMillis, idToResend);
      } catch (Exception e) {
        return; // no connection was accepted, so no request was either
      }
    }
  }

  /**
   * Sends requests sequentially until the connection closes.
   *
   * @param idToResend id of a request whose first connection closed while it was in transit, or
   *     null
   * @return id of the request that has to be sent again, or null
   */
  private String sendUntilClosed(ThriftTestClient client, int timeoutMillis, String idToResend)
      throws Exception {
    String id = idToResend;
    for (int sequenceId = 1; ; sequenceId++) {
      boolean isResent = id != null;
      id = isResent ? id : String.format("%016x", lastRequestNumber.incrementAndGet());
      long sentNanos = System.nanoTime();
      if (receivesAnswer(client, sequenceId, id, timeoutMillis)) {
        id = null;
        continue;
      }
      long waitedNanos = System.nanoTime() - sentNanos;
      if (!isResent && waitedNanos < CLOSE_RACE_NANOS && process.isAlive()) {
        return id;
      }
      lostRequests.add(describeLoss(id, sentNanos, isResent));
      return null;
    }
  }

  private boolean receivesAnswer(
      ThriftTestClient client, int sequenceId, String id, int timeoutMillis) throws Exception {
    try {
      client.submit(sequenceId, TestSubmit.idempotent(id).timeoutMillis(timeoutMillis));
      ThriftTestClient.Reply reply = client.receiveReply();
      if (reply == null) {
        return false;
      }
      if (sigtermNanos != 0 && reply.outcome() == ReplyOutcome.SUCCEEDED) {
        servedAfterSigterm.incrementAndGet();
      }
      return true;
    } catch (IOException e) {
      return false;
    }
  }

  private String describeLoss(String id, long sentNanos, boolean isResent) {
    return id
        + " sent "
        + (sentNanos - sigtermNanos) / 1_000_000
        + " ms after SIGTERM, ended "
        + (System.nanoTime() - sigtermNanos) / 1_000_000
        + " ms after it"
        + (isResent ? ", resent" : "");
  }
}

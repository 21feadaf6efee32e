package switchgap.testbed.emulator;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import switchgap.net.CloseCause;
import switchgap.net.HttpClientConnection;
import switchgap.net.HttpClientConnector;
import switchgap.net.NetworkTransport;

/**
 * Client attempts over sockets. A client that timed out keeps reading for a while, so that a late
 * response is seen and recorded. On the scheduler's thread.
 */
public final class SocketClientTransport implements ClientTransport {
  private static final long LATE_RESPONSE_WINDOW_MICROS = 300_000;
  private static final long MICROS_PER_MILLI = 1000;
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
  private static final int MAX_BODY_BYTES = 1 << 20;
  private static final int NO_STATUS = 0;
  private static final long NO_RETRY_AFTER = -1;
  private final Scheduler scheduler;
  private final EventRecorder recorder;
  private final HttpClientConnector factory;
  private final ConnectionPool[] routers;

  /**
   * A transport to so many routers, whose addresses are set by {@link #setRouter(int,
   * InetSocketAddress)}.
   */
  public SocketClientTransport(
      Scheduler scheduler, NetworkTransport net, EventRecorder recorder, int routers) {
    this.scheduler = scheduler;
    this.recorder = recorder;
    this.factory = new HttpClientConnector(net, null, MAX_BODY_BYTES);
    this.routers = new ConnectionPool[routers];
  }

  /** Sets the address of a router. */
  public void setRouter(int number, InetSocketAddress address) {
    routers[number] = new ConnectionPool(scheduler, factory, address, CONNECT_TIMEOUT);
  }

  /** Sets the port of a router on the loopback address. */
  public void setRouter(int number, int port) {
    setRouter(number, new InetSocketAddress("127.0.0.1", port));
  }

  @Override
  public void send(ClientAttempt attempt, ResultHandler handler) {
    PendingAttempt pending = new PendingAttempt(attempt, routers[attempt.router()], handler);
    pending.connections.acquire(pending::send, () -> pending.finish(ClientOutcome.UNREACHABLE));
  }

  /** An attempt from its connection to its end, and on to a late response. */
  private final class PendingAttempt implements HttpClientConnection.ResponseHandler {
    private final ClientAttempt attempt;
    private final ConnectionPool connections;
    private final ResultHandler handler;
    private HttpClientConnection connection;
    private boolean ended;

    PendingAttempt(ClientAttempt attempt, ConnectionPool connections, ResultHandler handler) {
      this.attempt = attempt;
      this.connections = connections;
      this.handler = handler;
    }

    void send(HttpClientConnection acquired) {
      connection = acquired;
      long now = scheduler.now();
      Map<String, String> headers = headers(now);
      byte[] body =
          ("{\"id\":\"" + attempt.call() + "\",\"inputs\":[]}").getBytes(StandardCharsets.UTF_8);
      recorder.record(
          now,
          "call",
          "call",
          attempt.call(),
          "job",
          attempt.request(),
          "router",
          attempt.router(),
          "workload",
          attempt.model().workload(),
          "function",
          attempt.model().name(),
          "customer",
          attempt.customer(),
          "limit",
          attempt.limit());
      String path = "/v1/functions/" + attempt.model().name() + "/invoke";
      if (!connection.send("POST", path, headers, body, this)) {
        finish(ClientOutcome.UNREACHABLE);
        return;
      }
      scheduler.after(attempt.limit() - now, this::deadlinePassed);
    }

    private Map<String, String> headers(long now) {
      Map<String, String> headers = new HashMap<>();
      headers.put("Content-Type", "application/json");
      headers.put("Switchgap-Call", attempt.call());
      headers.put("Switchgap-Customer", attempt.customer());
      headers.put(
          "Switchgap-Time-Limit",
          String.valueOf((attempt.limit() - now) / (double) MICROS_PER_MILLI));
      headers.put("Switchgap-Deadline", String.valueOf(attempt.limit() / MICROS_PER_MILLI));
      headers.put("Switchgap-Cost-Hint", String.valueOf(attempt.model().work() / MICROS_PER_MILLI));
      if (attempt.key() != null) {
        headers.put("Idempotency-Key", attempt.key());
      }
      return headers;
    }

    private void deadlinePassed() {
      if (!ended) {
        finish(ClientOutcome.TIMED_OUT);
        scheduler.after(LATE_RESPONSE_WINDOW_MICROS, () -> connection.abandon(this));
      }
    }

    @Override
    public void responded(int status, Map<String, String> headers, byte[] body, boolean reusable) {
      long at = scheduler.now();
      scheduler.post(
          () -> {
            if (reusable) {
              connections.release(connection);
            }
            String end = headers.getOrDefault("switchgap-end", ClientOutcome.REFUSED.word());
            if (ended) {
              recorder.record(
                  at, "late-answer", "call", attempt.call(), "status", status, "end", end);
            } else {
              finish(
                  end,
                  status,
                  Long.parseLong(
                      headers.getOrDefault("switchgap-come-back", String.valueOf(NO_RETRY_AFTER))));
            }
          });
    }

    @Override
    public void connectionLost(CloseCause cause) {
      scheduler.post(
          () -> {
            if (!ended) {
              finish(ClientOutcome.CONNECTION_LOST);
            }
          });
    }

    private void finish(ClientOutcome outcome) {
      finish(outcome.word(), NO_STATUS, NO_RETRY_AFTER);
    }

    private void finish(String end, int status, long retryAfterMillis) {
      ended = true;
      recorder.record(
          scheduler.now(),
          "answer",
          "call",
          attempt.call(),
          "job",
          attempt.request(),
          "router",
          attempt.router(),
          "end",
          end,
          "status",
          status);
      handler.ended(end, status, retryAfterMillis);
    }
  }
}

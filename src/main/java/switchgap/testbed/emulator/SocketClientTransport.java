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
 * Sends client attempts over sockets. After a timeout, the connection stays open for a while, so
 * that a late response is received and recorded. Used only on the scheduler's thread.
 */
public final class SocketClientTransport implements ClientTransport {
  private static final long LATE_RESPONSE_WINDOW_MICROS = 300_000;
  private static final long MICROS_PER_MILLI = 1000;
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
  private static final int MAX_BODY_BYTES = 1 << 20;
  private static final String OUTCOME_HEADER = "switchgap-end";
  private static final String RETRY_AFTER_HEADER = "switchgap-come-back";
  private final Scheduler scheduler;
  private final EventRecorder recorder;
  private final HttpClientConnector connector;
  private final ConnectionPool[] routerConnections;

  /**
   * Creates a transport. The address of each router must be set by {@link #setRouter(int,
   * InetSocketAddress)} before an attempt is sent to it.
   */
  public SocketClientTransport(
      Scheduler scheduler, NetworkTransport net, EventRecorder recorder, int routerCount) {
    this.scheduler = scheduler;
    this.recorder = recorder;
    this.connector = new HttpClientConnector(net, null, MAX_BODY_BYTES);
    this.routerConnections = new ConnectionPool[routerCount];
  }

  /** Sets the address of a router by its index. */
  public void setRouter(int routerIndex, InetSocketAddress address) {
    routerConnections[routerIndex] =
        new ConnectionPool(scheduler, connector, address, CONNECT_TIMEOUT);
  }

  /** Sets the port of a router that listens on the loopback address. */
  public void setRouter(int routerIndex, int port) {
    setRouter(routerIndex, new InetSocketAddress("127.0.0.1", port));
  }

  @Override
  public void send(ClientAttempt attempt, AttemptListener listener) {
    PendingAttempt pendingAttempt =
        new PendingAttempt(attempt, routerConnections[attempt.router()], listener);
    pendingAttempt.connections.acquire(
        pendingAttempt::send,
        () -> pendingAttempt.finish(AttemptEnd.withoutResponse(ClientOutcome.UNREACHABLE)));
  }

  /** An attempt in progress, or one that timed out and may still receive a late response. */
  private final class PendingAttempt implements HttpClientConnection.ResponseHandler {
    private final ClientAttempt attempt;
    private final ConnectionPool connections;
    private final AttemptListener listener;
    private HttpClientConnection connection;
    private boolean ended;

    PendingAttempt(ClientAttempt attempt, ConnectionPool connections, AttemptListener listener) {
      this.attempt = attempt;
      this.connections = connections;
      this.listener = listener;
    }

    void send(HttpClientConnection acquiredConnection) {
      connection = acquiredConnection;
      long now = scheduler.now();
      Map<String, String> headers = headers(now);
      byte[] body =
          ("{\"id\":\"" + attempt.attemptId() + "\",\"inputs\":[]}")
              .getBytes(StandardCharsets.UTF_8);
      recorder.record(
          LogEvent.of(now, "call")
              .with("call", attempt.attemptId())
              .with("job", attempt.requestId())
              .with("router", attempt.router())
              .with("workload", attempt.function().requestClass())
              .with("function", attempt.function().name())
              .with("customer", attempt.tenant())
              .with("limit", attempt.deadline()));
      String path = "/v1/functions/" + attempt.function().name() + "/invoke";
      if (!connection.send("POST", path, headers, body, this)) {
        finish(AttemptEnd.withoutResponse(ClientOutcome.UNREACHABLE));
        return;
      }
      scheduler.after(attempt.deadline() - now, this::deadlinePassed);
    }

    private Map<String, String> headers(long now) {
      Map<String, String> headers = new HashMap<>();
      headers.put("Content-Type", "application/json");
      headers.put("Switchgap-Call", attempt.attemptId());
      headers.put("Switchgap-Customer", attempt.tenant());
      headers.put(
          "Switchgap-Time-Limit",
          String.valueOf((attempt.deadline() - now) / (double) MICROS_PER_MILLI));
      headers.put("Switchgap-Deadline", String.valueOf(attempt.deadline() / MICROS_PER_MILLI));
      headers.put(
          "Switchgap-Cost-Hint", String.valueOf(attempt.function().work() / MICROS_PER_MILLI));
      if (attempt.idempotencyKey() != null) {
        headers.put("Idempotency-Key", attempt.idempotencyKey());
      }
      return headers;
    }

    private void deadlinePassed() {
      if (!ended) {
        finish(AttemptEnd.withoutResponse(ClientOutcome.TIMED_OUT));
        scheduler.after(LATE_RESPONSE_WINDOW_MICROS, () -> connection.abandon(this));
      }
    }

    @Override
    public void responded(int status, Map<String, String> headers, byte[] body, boolean reusable) {
      long receivedAt = scheduler.now();
      scheduler.post(
          () -> {
            if (reusable) {
              connections.release(connection);
            }
            String outcomeWord = headers.getOrDefault(OUTCOME_HEADER, ClientOutcome.REFUSED.word());
            if (ended) {
              recorder.record(
                  LogEvent.of(receivedAt, "late-answer")
                      .with("call", attempt.attemptId())
                      .with("status", status)
                      .with("end", outcomeWord));
            } else {
              finish(AttemptEnd.ofResponse(outcomeWord, status, retryAfterMillis(headers)));
            }
          });
    }

    private static long retryAfterMillis(Map<String, String> headers) {
      String value = headers.get(RETRY_AFTER_HEADER);
      return value == null ? AttemptEnd.NO_RETRY_AFTER : Long.parseLong(value);
    }

    @Override
    public void connectionLost(CloseCause cause) {
      scheduler.post(
          () -> {
            if (!ended) {
              finish(AttemptEnd.withoutResponse(ClientOutcome.CONNECTION_LOST));
            }
          });
    }

    private void finish(AttemptEnd end) {
      ended = true;
      recorder.record(
          LogEvent.of(scheduler.now(), "answer")
              .with("call", attempt.attemptId())
              .with("job", attempt.requestId())
              .with("router", attempt.router())
              .with("end", end.word())
              .with("status", end.status()));
      listener.attemptEnded(end);
    }
  }
}

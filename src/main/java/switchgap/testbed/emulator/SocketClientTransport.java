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
  private static final String END_HEADER = "switchgap-end";
  private static final String RETRY_AFTER_HEADER = "switchgap-come-back";
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
  public void send(ClientAttempt attempt, AttemptListener listener) {
    PendingAttempt pending = new PendingAttempt(attempt, routers[attempt.router()], listener);
    pending.connections.acquire(
        pending::send, () -> pending.finish(AttemptEnd.withoutResponse(ClientOutcome.UNREACHABLE)));
  }

  /** An attempt from its connection to its end, and on to a late response. */
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

    void send(HttpClientConnection acquired) {
      connection = acquired;
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
            String word = headers.getOrDefault(END_HEADER, ClientOutcome.REFUSED.word());
            if (ended) {
              recorder.record(
                  LogEvent.of(receivedAt, "late-answer")
                      .with("call", attempt.attemptId())
                      .with("status", status)
                      .with("end", word));
            } else {
              finish(AttemptEnd.ofResponse(word, status, retryAfterMillis(headers)));
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

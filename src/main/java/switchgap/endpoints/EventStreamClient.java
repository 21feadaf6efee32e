package switchgap.endpoints;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import switchgap.net.CloseCause;
import switchgap.net.ConnectFailure;
import switchgap.net.HttpClientConnection;
import switchgap.net.HttpClientConnector;
import switchgap.net.StallDetector;
import switchgap.net.TimerThread;
import switchgap.protocol.sse.ServerSentEventDecoder;

/**
 * Follows the platform's control feed from a sequence number on. Events are handed on once each and
 * in order; whatever happens to the feed, the last list stays in force. A feed that is silent for
 * longer than two of its heartbeat comments is asked again on a further connection: one that is
 * half open sounds like a fleet in which nothing changes. The connection that delivered last goes
 * on delivering until its successor does.
 *
 * <p>It differs from {@link EndpointListWatcher}: the feed has heartbeats and numbers that resume
 * it, and the platform moves routers from one feed to another, so two connections may count at a
 * time here and retries back off.
 *
 * <p>Thread-safe; events are handed on by the threads of the connections, under the client's lock.
 */
public final class EventStreamClient implements AutoCloseable {
  private static final int MAX_EVENT_BYTES = 2 << 20;

  /** Two heartbeat comments, one each second, and a little. */
  private static final Duration SILENCE_TIMEOUT = Duration.ofMillis(2300);

  private static final Duration SILENCE_CHECK_INTERVAL = Duration.ofMillis(200);
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

  /**
   * Delay before the second retry, the first is immediate; doubled with each further one, to 1.6 s.
   */
  private static final Duration INITIAL_BACKOFF = Duration.ofMillis(100);

  private static final int MAX_BACKOFF_DOUBLINGS = 4;

  /** A connection that delivers for so long is well: the next retry is immediate again. */
  private static final Duration STABLE_AFTER = Duration.ofMillis(500);

  private static final long NO_ATTEMPT = 0;

  private final HttpClientConnector connections;
  private final EndpointNames names;
  private final Consumer<EndpointListEvent> events;
  private final Consumer<String> log;
  private final ScheduledFuture<?> silenceCheck;
  private InetSocketAddress feed;
  private SubscriptionState state = SubscriptionState.DISCONNECTED;
  private long lastSequence;

  /** The number at which a gap was met: met again, nothing stands between. */
  private long gapSequence;

  private int failedAttempts;
  private final StallDetector stallDetector =
      new StallDetector(SILENCE_CHECK_INTERVAL, Duration.ofNanos(System.nanoTime()));
  private long lastDataNanos;

  /** Number of the connection attempt made last. */
  private long latestAttempt;

  private HttpClientConnection latestConnection;

  /**
   * The attempt that delivered last: it counts until a later one delivers, and none before it does.
   */
  private long activeAttempt = NO_ATTEMPT;

  private HttpClientConnection activeConnection;

  /**
   * A client that does nothing until {@link #follow}.
   *
   * @param lastSequence number of the last event that is known already
   * @param events hears of each event that has a list
   * @param log hears of trouble with the feed, a line each
   */
  public EventStreamClient(
      HttpClientConnector connections,
      long lastSequence,
      EndpointNames names,
      Consumer<EndpointListEvent> events,
      Consumer<String> log) {
    this.connections = connections;
    this.lastSequence = lastSequence;
    this.names = names;
    this.events = events;
    this.log = log;
    silenceCheck =
        TimerThread.EXECUTOR.scheduleAtFixedRate(
            this::checkSilence,
            SILENCE_CHECK_INTERVAL.toMillis(),
            SILENCE_CHECK_INTERVAL.toMillis(),
            TimeUnit.MILLISECONDS);
  }

  /** Begins, or goes over to another address from the last number on. */
  public synchronized void follow(InetSocketAddress address) {
    if (state == SubscriptionState.CLOSED) {
      return;
    }
    feed = address;
    failedAttempts = 0;
    connect();
  }

  private void checkSilence() {
    try {
      reconnectIfSilent();
    } catch (RuntimeException e) { // a timer's task that throws never runs again
      log.accept("control feed: " + e);
    }
  }

  private synchronized void reconnectIfSilent() {
    // what the feed said while the process was held up is not read yet
    lastDataNanos += stallDetector.recordCheck(Duration.ofNanos(System.nanoTime())).toNanos();
    if (state.awaitsData() && System.nanoTime() - lastDataNanos > SILENCE_TIMEOUT.toNanos()) {
      log.accept("control feed silent, it is asked anew");
      connect();
    }
  }

  private synchronized void connect() {
    if (state == SubscriptionState.CLOSED) {
      return;
    }
    state = state.onConnect();
    lastDataNanos = System.nanoTime();
    latestAttempt++;
    long attempt = latestAttempt;
    connections.connect(
        feed,
        CONNECT_TIMEOUT,
        new HttpClientConnection.ConnectCallback() {
          @Override
          public void connected(HttpClientConnection opened) {
            requestEvents(attempt, opened);
          }

          @Override
          public void failed(ConnectFailure failure) {
            disconnected(attempt, failure.toString());
          }
        });
  }

  private synchronized void requestEvents(long attempt, HttpClientConnection opened) {
    if (attempt != latestAttempt || state == SubscriptionState.CLOSED) {
      opened.close();
      return;
    }
    if (latestConnection != null && latestConnection != activeConnection) {
      latestConnection.close();
    }
    latestConnection = opened;
    Map<String, String> headers =
        Map.of("Last-Event-ID", String.valueOf(lastSequence), "Accept", "text/event-stream");
    if (!opened.send("GET", "/v1/events", headers, new byte[0], new StreamHandler(attempt))) {
      disconnected(attempt, "it ended before it was asked");
    }
  }

  private synchronized void disconnected(long attempt, String reason) {
    if (state == SubscriptionState.CLOSED) {
      return;
    }
    if (attempt == activeAttempt) {
      activeAttempt = NO_ATTEMPT;
      activeConnection.close();
      activeConnection = null;
    }
    if (attempt != latestAttempt) {
      return;
    }
    if (failedAttempts == 0) {
      log.accept("control feed away, the last list stays: " + reason);
    }
    Duration backoff = backoff();
    failedAttempts++;
    state = state.onDisconnect();
    latestAttempt++; // what the lost attempt still reports counts for nothing
    long waitingAttempt = latestAttempt;
    HttpClientConnection lost = latestConnection;
    latestConnection = null;
    if (lost != null && lost != activeConnection) {
      lost.close();
    }
    TimerThread.EXECUTOR.schedule(
        () -> reconnect(waitingAttempt), backoff.toMillis(), TimeUnit.MILLISECONDS);
  }

  private Duration backoff() {
    if (failedAttempts == 0) {
      return Duration.ZERO;
    }
    int doublings = Math.min(failedAttempts - 1, MAX_BACKOFF_DOUBLINGS);
    Duration longest = INITIAL_BACKOFF.multipliedBy(1L << doublings);
    // between half of it and all of it: hundreds of routers lose the feed at one moment
    long nanos = longest.toNanos() / 2;
    return Duration.ofNanos(nanos + ThreadLocalRandom.current().nextLong(nanos));
  }

  private synchronized void reconnect(long waitingAttempt) {
    if (waitingAttempt == latestAttempt && state == SubscriptionState.DISCONNECTED) {
      connect();
    }
  }

  /** Whether this attempt is the latest, or still the only one that delivers. */
  private synchronized boolean isCurrent(long attempt) {
    return state != SubscriptionState.CLOSED
        && (attempt == latestAttempt || attempt == activeAttempt);
  }

  private synchronized void eventReceived(long attempt, String text) {
    if (!isCurrent(attempt)) {
      return;
    }
    try {
      deliver(attempt, EndpointListEvent.parse(text, names));
    } catch (IOException | RuntimeException e) {
      disconnected(attempt, e.getMessage()); // the next connection delivers it whole
    }
  }

  private void deliver(long attempt, EndpointListEvent event) {
    long sequence = event.sequence();
    boolean deliveredBefore =
        sequence < lastSequence || (sequence == lastSequence && !event.complete());
    if (deliveredBefore) {
      return;
    }
    boolean gap = sequence > lastSequence + 1 && !event.complete();
    if (gap && gapSequence != sequence) {
      gapSequence = sequence;
      disconnected(attempt, "event " + sequence + " follows " + lastSequence);
      return;
    }
    lastSequence = sequence;
    if (event.updates() != null) {
      events.accept(event);
    }
  }

  /** Complete lines came: an event, a part of one or a heartbeat. */
  private synchronized void dataReceived(long attempt, long requestedAtNanos) {
    if (attempt != latestAttempt) {
      return;
    }
    lastDataNanos = System.nanoTime();
    state = state.onDelivery();
    // one that breaks off at once is not asked at full speed
    if (lastDataNanos - requestedAtNanos > STABLE_AFTER.toNanos()) {
      failedAttempts = 0;
    }
    if (activeAttempt == attempt) {
      return;
    }
    if (activeConnection != null) {
      activeConnection.close();
    }
    activeConnection = latestConnection;
    activeAttempt = attempt;
  }

  @Override
  public synchronized void close() {
    state = SubscriptionState.CLOSED;
    silenceCheck.cancel(false);
    if (latestConnection != null) {
      latestConnection.close();
    }
    if (activeConnection != null) {
      activeConnection.close();
    }
  }

  /** Takes the stream of one attempt; the selector's thread alone calls it. */
  private final class StreamHandler implements HttpClientConnection.ResponseHandler {
    private final long attempt;
    private final ServerSentEventDecoder decoder = new ServerSentEventDecoder(MAX_EVENT_BYTES);
    private final long requestedAtNanos = System.nanoTime();

    StreamHandler(long attempt) {
      this.attempt = attempt;
    }

    @Override
    public boolean bodyPart(byte[] bytes) {
      if (!isCurrent(attempt)) {
        return true;
      }
      long linesBefore = decoder.lines();
      boolean fits = decoder.take(bytes, (id, data) -> eventReceived(attempt, data));
      // bytes of a line that never ends are silence
      if (decoder.lines() > linesBefore) {
        dataReceived(attempt, requestedAtNanos);
      }
      if (!fits) {
        disconnected(attempt, "an event over " + MAX_EVENT_BYTES + " bytes");
      }
      return true;
    }

    @Override
    public void responded(int status, Map<String, String> headers, byte[] body, boolean reusable) {
      disconnected(attempt, "it ended with status " + status);
    }

    @Override
    public void connectionLost(CloseCause cause) {
      disconnected(attempt, cause.toString());
    }
  }
}

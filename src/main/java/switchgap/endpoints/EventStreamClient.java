package switchgap.endpoints;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import switchgap.net.CloseCause;
import switchgap.net.ConnectFailure;
import switchgap.net.HttpClientConnection;
import switchgap.net.HttpClientConnector;
import switchgap.net.StallDetector;
import switchgap.net.TimerThread;

/**
 * Follows the platform's control feed from a sequence number on. Each event is delivered once and
 * in order; while the feed is disconnected or its events are invalid, the last endpoint list stays
 * in force. A feed that is silent for longer than two of its heartbeat comments is requested again
 * on a further connection, since a half-open connection looks like a fleet without changes. The
 * connection that delivered last stays in use until its successor delivers.
 *
 * <p>The list counts as confirmed while heartbeats come on the latest connection, and heartbeats
 * prove that no event is missing. A request for the stream that is not answered, a break, an event
 * that is invalid or received in part, and silence leave it unconfirmed: the platform counts what
 * the stream would have told as notified then, at the earliest.
 *
 * <p>It differs from {@link EndpointListWatcher}: the feed has heartbeats and sequence numbers that
 * resume it, and the platform migrates routers from one feed to another, so two connections may be
 * in use at a time here and reconnects back off exponentially.
 *
 * <p>Thread-safe; events are delivered by the threads of the connections, under the client's lock.
 */
public final class EventStreamClient implements AutoCloseable {
  /** Two heartbeat comments, one each second, and a margin. */
  private static final Duration SILENCE_TIMEOUT = Duration.ofMillis(2300);

  private static final Duration SILENCE_CHECK_INTERVAL = Duration.ofMillis(200);
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

  /** Bound of the delay before the second reconnect; the first one is immediate. */
  private static final Duration INITIAL_BACKOFF = Duration.ofMillis(100);

  private static final int MAX_BACKOFF_DOUBLINGS = 4;

  /** A list that was unconfirmed for longer has a log line when it is confirmed again. */
  private static final Duration LOGGED_OUTAGE = Duration.ofSeconds(1);

  private static final long NANOS_PER_MILLI = 1_000_000;

  /** Time for which a connection must have delivered before its loss counts as a first failure. */
  private static final Duration STABLE_AFTER = Duration.ofMillis(500);

  private final HttpClientConnector connector;
  private final EndpointNames names;
  private final EventStreamListener listener;
  private final Consumer<String> log;
  private final ScheduledFuture<?> silenceCheck;
  private final EventSequence sequence;
  private final ConnectionHandover connections = new ConnectionHandover();
  private final ReconnectBackoff backoff =
      ReconnectBackoff.exponential(INITIAL_BACKOFF, MAX_BACKOFF_DOUBLINGS);
  private final StallDetector stallDetector =
      new StallDetector(SILENCE_CHECK_INTERVAL, Duration.ofNanos(System.nanoTime()));
  private InetSocketAddress feed;
  private SubscriptionState state = SubscriptionState.DISCONNECTED;

  /** The {@link System#nanoTime} at which the latest attempt began or last delivered a line. */
  private long lastDataNanos;

  /** Whether an event was invalid or missing, so that heartbeats alone confirm nothing. */
  private boolean eventMissing;

  /** The {@link System#nanoTime} since which the list is unconfirmed; unused while it is not. */
  private long unconfirmedSinceNanos = System.nanoTime();

  private boolean confirmed;

  /**
   * Creates a client that does nothing until {@link #follow}.
   *
   * @param lastSequence number of the last event that is known already
   * @param listener receives the events, and until when the list is confirmed
   * @param log receives a line for each fault of the feed
   */
  public EventStreamClient(
      HttpClientConnector connector,
      long lastSequence,
      EndpointNames names,
      EventStreamListener listener,
      Consumer<String> log) {
    this.connector = connector;
    this.sequence = new EventSequence(lastSequence);
    this.names = names;
    this.listener = listener;
    this.log = log;
    silenceCheck =
        TimerThread.EXECUTOR.scheduleAtFixedRate(
            this::checkSilence,
            SILENCE_CHECK_INTERVAL.toMillis(),
            SILENCE_CHECK_INTERVAL.toMillis(),
            TimeUnit.MILLISECONDS);
  }

  /** Connects to the feed, or migrates to another address; resumes after the last event. */
  public synchronized void follow(InetSocketAddress address) {
    if (state == SubscriptionState.CLOSED) {
      return;
    }
    feed = address;
    backoff.reset();
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
    // what the feed sent while the process was stalled is not read yet
    lastDataNanos += stallDetector.recordCheck(Duration.ofNanos(System.nanoTime())).toNanos();
    if (state.awaitsData() && System.nanoTime() - lastDataNanos > SILENCE_TIMEOUT.toNanos()) {
      log.accept("control feed silent, it is requested again");
      connect();
    }
  }

  private synchronized void connect() {
    if (state == SubscriptionState.CLOSED) {
      return;
    }
    state = state.onConnect();
    unconfirm();
    lastDataNanos = System.nanoTime();
    long attempt = connections.beginAttempt();
    connector.connect(
        feed,
        CONNECT_TIMEOUT,
        new HttpClientConnection.ConnectCallback() {
          @Override
          public void connected(HttpClientConnection opened) {
            requestEvents(attempt, opened);
          }

          @Override
          public void failed(ConnectFailure failure) {
            disconnected(attempt, SubscriptionEndReason.CONNECT_FAILED.with(failure.toString()));
          }
        });
  }

  private synchronized void requestEvents(long attempt, HttpClientConnection opened) {
    if (!connections.isLatest(attempt) || state == SubscriptionState.CLOSED) {
      opened.close();
      return;
    }
    connections.connectionOpened(opened);
    Map<String, String> headers =
        Map.of(
            "Last-Event-ID",
            String.valueOf(sequence.lastSequence()),
            "Accept",
            "text/event-stream");
    if (!opened.send(
        "GET", "/v1/events", headers, new byte[0], new EventStreamHandler(this, attempt))) {
      disconnected(attempt, CloseCause.of(SubscriptionEndReason.CLOSED_BEFORE_REQUEST));
    }
  }

  /** An attempt has ended, or must be given up. Where it is the latest, another is scheduled. */
  synchronized void disconnected(long attempt, CloseCause cause) {
    if (state == SubscriptionState.CLOSED) {
      return;
    }
    connections.closeIfActive(attempt);
    if (!connections.isLatest(attempt)) {
      return;
    }
    unconfirm();
    if (!backoff.hasFailed()) {
      log.accept("control feed away, the last list stays: " + cause);
    }
    Duration delay = backoff.nextDelay();
    state = state.onDisconnect();
    long waitingAttempt = connections.beginWait();
    ReconnectBackoff.schedule(() -> reconnect(waitingAttempt), delay);
  }

  private synchronized void reconnect(long waitingAttempt) {
    if (connections.isLatest(waitingAttempt) && state == SubscriptionState.DISCONNECTED) {
      connect();
    }
  }

  /** Whether what an attempt delivers counts. */
  synchronized boolean isCurrent(long attempt) {
    return state != SubscriptionState.CLOSED && connections.isCurrent(attempt);
  }

  /** An attempt received the data of an event. */
  synchronized void eventReceived(long attempt, String text) {
    if (!isCurrent(attempt)) {
      return;
    }
    try {
      deliver(attempt, EndpointListEvent.parse(text, names));
    } catch (IOException | RuntimeException e) {
      eventMissing = true; // the next connection delivers the event again
      disconnected(attempt, SubscriptionEndReason.INVALID_EVENT.with(e.getMessage()));
    }
  }

  private void deliver(long attempt, EndpointListEvent event) {
    long lastSequence = sequence.lastSequence();
    EventSequence.Verdict verdict = sequence.advance(event);
    if (verdict == EventSequence.Verdict.GAP) {
      eventMissing = true;
      String detail = "event " + event.sequence() + " follows " + lastSequence;
      disconnected(attempt, SubscriptionEndReason.SEQUENCE_GAP.with(detail));
    } else if (verdict == EventSequence.Verdict.DELIVER) {
      eventMissing = false;
      if (event.isEndpointList()) {
        listener.eventReceived(event);
      }
    }
  }

  /**
   * Complete lines were received: an event, a part of one or a heartbeat.
   *
   * @param heartbeat whether a heartbeat was among them, and no event is received in part: all
   *     events sent before it are delivered. An event proves as much of none but itself, as others
   *     that were missed may follow.
   */
  synchronized void linesReceived(long attempt, long requestedAtNanos, boolean heartbeat) {
    if (!connections.isLatest(attempt)) {
      return;
    }
    lastDataNanos = System.nanoTime();
    state = state.onDelivery();
    if (lastDataNanos - requestedAtNanos > STABLE_AFTER.toNanos()) {
      backoff.reset(); // not for one that breaks at once, which would be reconnected at full speed
    }
    connections.activateLatest();
    if (heartbeat && !eventMissing) {
      confirm();
    }
  }

  private void confirm() {
    if (!confirmed) {
      confirmed = true;
      long nanos = System.nanoTime() - unconfirmedSinceNanos;
      if (nanos > LOGGED_OUTAGE.toNanos()) {
        log.accept("endpoint list confirmed again after " + nanos / NANOS_PER_MILLI + " ms");
      }
    }
    listener.listConfirmed(SILENCE_TIMEOUT);
  }

  private void unconfirm() {
    if (confirmed) {
      confirmed = false;
      unconfirmedSinceNanos = lastDataNanos;
    }
    listener.listUnconfirmed();
  }

  @Override
  public synchronized void close() {
    state = SubscriptionState.CLOSED;
    silenceCheck.cancel(false);
    connections.close();
  }
}

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
 * Follows the platform's event stream from a sequence number on and delivers each event once and in
 * order. While the stream is disconnected or its events are invalid, the last valid endpoint list
 * remains in use. After more than two heartbeat intervals without data the client reconnects,
 * because a half-open connection is indistinguishable from a fleet without changes. The connection
 * that delivered data last stays in use until the new one delivers.
 *
 * <p>The list is confirmed while heartbeats arrive on the latest connection, because a heartbeat
 * shows that no event is missing. It is unconfirmed after an unanswered request for the stream, a
 * lost connection, an invalid or incomplete event, or silence. While it is unconfirmed, and only
 * then, a change of the list may take effect before the router has received its event.
 *
 * <p>Unlike the service of {@link EndpointListWatcher}, the stream has heartbeats and can resume at
 * a sequence number, and the platform migrates routers between streams. Therefore two connections
 * may be in use at a time, and the delay between reconnects grows exponentially.
 *
 * <p>Thread-safe. Events are delivered on the selector threads of the connections, under the
 * client's lock.
 */
public final class EventStreamClient implements AutoCloseable {
  /** Two heartbeat intervals of one second each, and a margin. */
  private static final Duration SILENCE_TIMEOUT = Duration.ofMillis(2300);

  private static final Duration SILENCE_CHECK_INTERVAL = Duration.ofMillis(200);
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

  /** Upper bound of the delay before the second reconnect; the first reconnect is immediate. */
  private static final Duration INITIAL_BACKOFF = Duration.ofMillis(100);

  private static final int MAX_BACKOFF_DOUBLINGS = 4;

  /** Minimum time for which the list was unconfirmed to log that it is confirmed again. */
  private static final Duration MIN_LOGGED_OUTAGE = Duration.ofSeconds(1);

  private static final long NANOS_PER_MILLI = 1_000_000;

  /** Time for which a connection must deliver data before the backoff is reset. */
  private static final Duration MIN_STABLE_TIME = Duration.ofMillis(500);

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
  private InetSocketAddress streamAddress;
  private SubscriptionState state = SubscriptionState.DISCONNECTED;

  /**
   * Monotonic time of the latest attempt's start or last line, plus stalls of the process since.
   */
  private long lastDataNanos;

  /** Whether an event was invalid or missing, so that heartbeats do not confirm the list. */
  private boolean eventMissing;

  /** The {@link System#nanoTime} since which the list is unconfirmed; unused while confirmed. */
  private long unconfirmedSinceNanos = System.nanoTime();

  private boolean confirmed;

  /**
   * Creates a client that does nothing until {@link #follow}.
   *
   * @param lastSequence sequence number of the last event that the router has already received
   * @param listener receives the events, and is notified when the list is confirmed or unconfirmed
   * @param log receives a line for each fault of the stream and for the end of each long outage
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

  /** Connects to the stream at this address, or migrates to it; resumes after the last event. */
  public synchronized void follow(InetSocketAddress address) {
    if (state == SubscriptionState.CLOSED) {
      return;
    }
    streamAddress = address;
    backoff.reset();
    connect();
  }

  private void checkSilence() {
    try {
      reconnectIfSilent();
    } catch (RuntimeException e) { // A periodic task that throws is never run again.
      log.accept("silence check of the event stream failed: " + e);
    }
  }

  private synchronized void reconnectIfSilent() {
    // Data that the server sent while the process was stalled has not been read yet.
    lastDataNanos += stallDetector.recordCheck(Duration.ofNanos(System.nanoTime())).toNanos();
    if (state.awaitsData() && System.nanoTime() - lastDataNanos > SILENCE_TIMEOUT.toNanos()) {
      log.accept("event stream silent, reconnecting");
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
        streamAddress,
        CONNECT_TIMEOUT,
        new HttpClientConnection.ConnectCallback() {
          @Override
          public void connected(HttpClientConnection newConnection) {
            requestEvents(attempt, newConnection);
          }

          @Override
          public void failed(ConnectFailure failure) {
            disconnected(attempt, SubscriptionEndReason.CONNECT_FAILED.with(failure.toString()));
          }
        });
  }

  private synchronized void requestEvents(long attempt, HttpClientConnection newConnection) {
    if (!connections.isLatest(attempt) || state == SubscriptionState.CLOSED) {
      newConnection.close();
      return;
    }
    connections.connectionOpened(newConnection);
    Map<String, String> headers =
        Map.of(
            "Last-Event-ID",
            String.valueOf(sequence.lastSequence()),
            "Accept",
            "text/event-stream");
    if (!newConnection.send(
        "GET", "/v1/events", headers, new byte[0], new EventStreamHandler(this, attempt))) {
      disconnected(attempt, CloseCause.of(SubscriptionEndReason.CLOSED_BEFORE_REQUEST));
    }
  }

  /** Ends an attempt that failed or must be given up; if it is the latest, schedules another. */
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
      log.accept("event stream unavailable, keeping the last endpoint list: " + cause);
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

  /** Whether data from an attempt must be processed. */
  synchronized boolean isCurrent(long attempt) {
    return state != SubscriptionState.CLOSED && connections.isCurrent(attempt);
  }

  /** Handles the data of an event that an attempt received. */
  synchronized void eventReceived(long attempt, String text) {
    if (!isCurrent(attempt)) {
      return;
    }
    try {
      deliver(attempt, EndpointListEvent.parse(text, names));
    } catch (IOException | RuntimeException e) {
      eventMissing = true; // The next connection delivers the event again.
      disconnected(attempt, SubscriptionEndReason.INVALID_EVENT.with(e.getMessage()));
    }
  }

  private void deliver(long attempt, EndpointListEvent event) {
    long lastSequence = sequence.lastSequence();
    EventSequence.Verdict verdict = sequence.advance(event);
    if (verdict == EventSequence.Verdict.GAP) {
      eventMissing = true;
      String detail = "event " + event.sequence() + " received after event " + lastSequence;
      disconnected(attempt, SubscriptionEndReason.SEQUENCE_GAP.with(detail));
    } else if (verdict == EventSequence.Verdict.DELIVER) {
      eventMissing = false;
      if (event.isEndpointList()) {
        listener.eventReceived(event);
      }
    }
  }

  /**
   * Handles the arrival of complete lines: an event, a part of an event, or a heartbeat.
   *
   * @param heartbeat whether the lines contain a heartbeat and no event is incomplete, so that all
   *     events sent before the heartbeat have been delivered. An event does not show this, because
   *     events that were missed may follow it.
   */
  synchronized void linesReceived(long attempt, long requestedAtNanos, boolean heartbeat) {
    if (!connections.isLatest(attempt)) {
      return;
    }
    lastDataNanos = System.nanoTime();
    state = state.onDelivery();
    // A connection that breaks immediately must not be reopened without a delay.
    if (lastDataNanos - requestedAtNanos > MIN_STABLE_TIME.toNanos()) {
      backoff.reset();
    }
    connections.activateLatest();
    if (heartbeat && !eventMissing) {
      confirm();
    }
  }

  private void confirm() {
    if (!confirmed) {
      confirmed = true;
      long unconfirmedNanos = System.nanoTime() - unconfirmedSinceNanos;
      if (unconfirmedNanos > MIN_LOGGED_OUTAGE.toNanos()) {
        log.accept(
            "endpoint list confirmed again after " + unconfirmedNanos / NANOS_PER_MILLI + " ms");
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

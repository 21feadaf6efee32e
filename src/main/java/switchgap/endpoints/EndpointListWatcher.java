package switchgap.endpoints;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import switchgap.net.CloseCause;
import switchgap.net.ConnectFailure;
import switchgap.net.HttpClientConnection;
import switchgap.net.HttpClientConnector;
import switchgap.net.TimerThread;
import switchgap.router.RouterCore;

/**
 * Follows the gateway's endpoint list service by one request whose response goes on in lines. While
 * the service is disconnected or its lines are invalid, the last endpoint list stays in force. A
 * service that is silent for long is requested again on a further connection, since a half-open
 * connection looks like a fleet without changes.
 *
 * <p>It differs from {@link EventStreamClient}: the service sends no heartbeats and can send its
 * complete list at any time, so a fixed reconnect delay and a switch to the newest connection as
 * soon as it is open are sufficient here.
 *
 * <p>Thread-safe; lists are delivered by the threads of the connections.
 */
public final class EndpointListWatcher {
  private static final Logger LOG = LoggerFactory.getLogger(EndpointListWatcher.class);
  private static final int MAX_LINE_BYTES = 16 << 20;

  /** Reconnect delays without a byte after which a connection counts as half-open. */
  private static final int SILENCE_TIMEOUT_DELAYS = 20;

  /** Reconnect delays that opening a connection may take. */
  private static final int CONNECT_TIMEOUT_DELAYS = 4;

  /** A version that precedes none: the service responds to it with the complete list. */
  private static final long NO_VERSION = -1;

  private final HttpClientConnector connector;
  private final InetSocketAddress service;
  private final int routerIndex;
  private final Duration connectTimeout;
  private final long silenceTimeoutNanos;
  private final EndpointNames names;
  private final Consumer<Consumer<RouterCore>> events;
  private final ReconnectBackoff backoff;
  private final ScheduledFuture<?> silenceCheck;
  private SubscriptionState state = SubscriptionState.DISCONNECTED;
  private volatile long version = NO_VERSION;
  private volatile HttpClientConnection connection;
  private volatile long lastByteNanos = System.nanoTime();

  /**
   * Creates a watcher that does nothing until {@link #follow()}.
   *
   * @param routerIndex index by which the service knows this router
   * @param reconnectDelay time between the loss of a connection and the next attempt
   * @param events posts to the router's event loop
   */
  public EndpointListWatcher(
      HttpClientConnector connector,
      InetSocketAddress service,
      int routerIndex,
      Duration reconnectDelay,
      EndpointNames names,
      Consumer<Consumer<RouterCore>> events) {
    this.connector = connector;
    this.service = service;
    this.routerIndex = routerIndex;
    this.connectTimeout = reconnectDelay.multipliedBy(CONNECT_TIMEOUT_DELAYS);
    this.silenceTimeoutNanos = SILENCE_TIMEOUT_DELAYS * reconnectDelay.toNanos();
    this.names = names;
    this.events = events;
    this.backoff = ReconnectBackoff.fixed(reconnectDelay);
    silenceCheck =
        TimerThread.EXECUTOR.scheduleAtFixedRate(
            this::reconnectIfSilent,
            reconnectDelay.toMillis(),
            reconnectDelay.toMillis(),
            TimeUnit.MILLISECONDS);
  }

  private synchronized void reconnectIfSilent() {
    long silentNanos = System.nanoTime() - lastByteNanos;
    if (state.awaitsData() && silentNanos >= silenceTimeoutNanos) {
      state = state.onDisconnect();
      follow(); // the old connection is closed once the new one is open
    }
  }

  /** Opens a connection, unless one is open or being opened. */
  public synchronized void follow() {
    if (state != SubscriptionState.DISCONNECTED) {
      return;
    }
    state = state.onConnect();
    lastByteNanos = System.nanoTime();
    connector.connect(
        service,
        connectTimeout,
        new HttpClientConnection.ConnectCallback() {
          @Override
          public void connected(HttpClientConnection opened) {
            requestList(opened);
          }

          @Override
          public void failed(ConnectFailure failure) {
            disconnected(SubscriptionEndReason.CONNECT_FAILED.with(failure.toString()));
          }
        });
  }

  private void requestList(HttpClientConnection opened) {
    HttpClientConnection previous;
    synchronized (this) {
      if (state == SubscriptionState.CLOSED) {
        opened.close();
        return;
      }
      previous = connection;
      connection = opened;
    }
    if (previous != null) {
      previous.close();
    }
    String path = "/v1/workers?watch=1&router=" + routerIndex + "&from=" + version;
    opened.send("GET", path, Map.of(), new byte[0], new LineHandler(opened));
  }

  private synchronized void disconnected(CloseCause cause) {
    if (state == SubscriptionState.CLOSED) {
      return;
    }
    if (state != SubscriptionState.DISCONNECTED) {
      LOG.warn("list service away, the last list stays: {}", cause);
    }
    state = state.onDisconnect();
    events.accept(RouterCore::endpointListFailed);
    ReconnectBackoff.schedule(this::follow, backoff.nextDelay());
  }

  private synchronized void delivered() {
    state = state.onDelivery();
  }

  /** Closes the connection and opens no further one. */
  public synchronized void close() {
    state = SubscriptionState.CLOSED;
    silenceCheck.cancel(false);
    if (connection != null) {
      connection.close();
    }
  }

  /** Receives the lines of one connection. For the selector thread of the connection. */
  private final class LineHandler implements HttpClientConnection.ResponseHandler {
    private final HttpClientConnection source;
    private final LineDecoder decoder = new LineDecoder(MAX_LINE_BYTES);

    LineHandler(HttpClientConnection source) {
      this.source = source;
    }

    @Override
    public boolean bodyPart(byte[] bytes) {
      lastByteNanos = System.nanoTime();
      if (!decoder.decode(bytes, this::lineReceived)) {
        LOG.warn("a list line over {} bytes is refused", MAX_LINE_BYTES);
        source.close();
      }
      return true;
    }

    private void lineReceived(String text) {
      if (text.isBlank() || source != connection) {
        return;
      }
      EndpointListLine list;
      try {
        list = EndpointListLine.parse(text, names);
      } catch (IOException e) {
        LOG.warn("a list was refused, the last one stays: {}", e.getMessage());
        requestCompleteList();
        return;
      }
      if (!list.complete() && list.version() != version + 1) {
        LOG.warn(
            "list version {} follows {}: the complete list is requested", list.version(), version);
        requestCompleteList();
        return;
      }
      delivered();
      version = list.version();
      events.accept(core -> core.endpointListReceived(list.complete(), list.updates()));
    }

    /** Closes the connection; the next one requests the complete list. */
    private void requestCompleteList() {
      version = NO_VERSION;
      source.close();
    }

    @Override
    public void responded(int status, Map<String, String> headers, byte[] body, boolean reusable) {
      source.close();
      ended(SubscriptionEndReason.RESPONSE_ENDED.with("status " + status));
    }

    @Override
    public void connectionLost(CloseCause cause) {
      ended(cause);
    }

    private void ended(CloseCause cause) {
      boolean isReplaced = source != connection;
      if (!isReplaced) {
        disconnected(cause);
      }
    }
  }
}

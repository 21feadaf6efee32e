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
 * Follows the gateway's endpoint list service by a single request whose response streams one line
 * for each version of the list. While the service is disconnected or its lines are invalid, the
 * last valid endpoint list remains in use. If the service is silent for too long, the watcher opens
 * a new connection, because a half-open connection is indistinguishable from a fleet without
 * changes.
 *
 * <p>Unlike the stream of {@link EventStreamClient}, the service sends no heartbeats and can send
 * its complete list at any time. A fixed reconnect delay, and a switch to a new connection as soon
 * as it is open, are therefore sufficient.
 *
 * <p>Thread-safe. Lists are parsed on the selector threads of the connections and posted to the
 * router's event loop.
 */
public final class EndpointListWatcher {
  private static final Logger LOG = LoggerFactory.getLogger(EndpointListWatcher.class);
  private static final int MAX_LINE_BYTES = 16 << 20;

  /** A connection that receives nothing for this many reconnect delays is considered half-open. */
  private static final int RECONNECT_DELAYS_PER_SILENCE_TIMEOUT = 20;

  /** The connect timeout, as a multiple of the reconnect delay. */
  private static final int RECONNECT_DELAYS_PER_CONNECT_TIMEOUT = 4;

  /** Precedes every version: the service responds to this version with the complete list. */
  private static final long NO_VERSION = -1;

  private final HttpClientConnector connector;
  private final InetSocketAddress serviceAddress;
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
   * @param routerIndex index that identifies this router to the service
   * @param reconnectDelay time between the loss of a connection and the next attempt
   * @param events posts events to the router's event loop
   */
  public EndpointListWatcher(
      HttpClientConnector connector,
      InetSocketAddress serviceAddress,
      int routerIndex,
      Duration reconnectDelay,
      EndpointNames names,
      Consumer<Consumer<RouterCore>> events) {
    this.connector = connector;
    this.serviceAddress = serviceAddress;
    this.routerIndex = routerIndex;
    this.connectTimeout = reconnectDelay.multipliedBy(RECONNECT_DELAYS_PER_CONNECT_TIMEOUT);
    this.silenceTimeoutNanos = RECONNECT_DELAYS_PER_SILENCE_TIMEOUT * reconnectDelay.toNanos();
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
      follow(); // The old connection is closed once the new one is open.
    }
  }

  /** Opens a connection unless one is already open or being opened. */
  public synchronized void follow() {
    if (state != SubscriptionState.DISCONNECTED) {
      return;
    }
    state = state.onConnect();
    lastByteNanos = System.nanoTime();
    connector.connect(
        serviceAddress,
        connectTimeout,
        new HttpClientConnection.ConnectCallback() {
          @Override
          public void connected(HttpClientConnection newConnection) {
            requestList(newConnection);
          }

          @Override
          public void failed(ConnectFailure failure) {
            disconnected(SubscriptionEndReason.CONNECT_FAILED.with(failure.toString()));
          }
        });
  }

  private void requestList(HttpClientConnection newConnection) {
    HttpClientConnection previousConnection;
    synchronized (this) {
      if (state == SubscriptionState.CLOSED) {
        newConnection.close();
        return;
      }
      previousConnection = connection;
      connection = newConnection;
    }
    if (previousConnection != null) {
      previousConnection.close();
    }
    String path = "/v1/workers?watch=1&router=" + routerIndex + "&from=" + version;
    newConnection.send("GET", path, Map.of(), new byte[0], new LineHandler(newConnection));
  }

  private synchronized void disconnected(CloseCause cause) {
    if (state == SubscriptionState.CLOSED) {
      return;
    }
    if (state != SubscriptionState.DISCONNECTED) {
      LOG.warn("endpoint list service unavailable, keeping the last endpoint list: {}", cause);
    }
    state = state.onDisconnect();
    events.accept(RouterCore::endpointListFailed);
    ReconnectBackoff.schedule(this::follow, backoff.nextDelay());
  }

  private synchronized void listDelivered() {
    state = state.onDelivery();
  }

  /** Closes the connection and stops reconnecting. */
  public synchronized void close() {
    state = SubscriptionState.CLOSED;
    silenceCheck.cancel(false);
    if (connection != null) {
      connection.close();
    }
  }

  /** Receives the lines of one connection on its selector thread. */
  private final class LineHandler implements HttpClientConnection.ResponseHandler {
    private final HttpClientConnection sourceConnection;
    private final LineDecoder decoder = new LineDecoder(MAX_LINE_BYTES);

    LineHandler(HttpClientConnection sourceConnection) {
      this.sourceConnection = sourceConnection;
    }

    @Override
    public boolean bodyPart(byte[] bytes) {
      lastByteNanos = System.nanoTime();
      if (!decoder.decode(bytes, this::lineReceived)) {
        LOG.warn("endpoint list line exceeds {} bytes, closing the connection", MAX_LINE_BYTES);
        sourceConnection.close();
      }
      return true;
    }

    private void lineReceived(String text) {
      if (text.isBlank() || sourceConnection != connection) {
        return;
      }
      EndpointListLine list;
      try {
        list = EndpointListLine.parse(text, names);
      } catch (IOException e) {
        LOG.warn(
            "invalid endpoint list, keeping the last one and requesting the complete list: {}",
            e.getMessage());
        requestCompleteList();
        return;
      }
      if (!list.complete() && list.version() != version + 1) {
        LOG.warn(
            "endpoint list version {} received after version {}, requesting the complete list",
            list.version(),
            version);
        requestCompleteList();
        return;
      }
      listDelivered();
      version = list.version();
      events.accept(core -> core.endpointListReceived(list.complete(), list.updates()));
    }

    /** Closes the connection; the next one requests the complete list. */
    private void requestCompleteList() {
      version = NO_VERSION;
      sourceConnection.close();
    }

    @Override
    public void responded(int status, Map<String, String> headers, byte[] body, boolean reusable) {
      sourceConnection.close();
      ended(SubscriptionEndReason.RESPONSE_ENDED.with("status " + status));
    }

    @Override
    public void connectionLost(CloseCause cause) {
      ended(cause);
    }

    private void ended(CloseCause cause) {
      boolean isReplaced = sourceConnection != connection;
      if (!isReplaced) {
        disconnected(cause);
      }
    }
  }
}

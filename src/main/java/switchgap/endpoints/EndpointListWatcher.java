package switchgap.endpoints;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
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
 * Follows the gateway's list service by one request whose response goes on in lines. While the
 * service is away, or its lines can't be used, the last good list stays in force. A service that is
 * silent for long is asked again on a further connection: a connection that is half open sounds
 * like a fleet in which nothing changes.
 *
 * <p>It differs from {@link EventStreamClient}: the list service sends no heartbeats and can give
 * its whole list at any time, so a fixed retry delay and a switch to the newest connection as soon
 * as it is up are enough here.
 *
 * <p>Thread-safe; events are handed on by the threads of the connections.
 */
public final class EndpointListWatcher {
  private static final Logger LOG = LoggerFactory.getLogger(EndpointListWatcher.class);
  private static final int MAX_LINE_BYTES = 16 << 20;

  /** Retry delays without a byte after which the service counts as dead. */
  private static final int SILENCE_TIMEOUT_RETRY_DELAYS = 20;

  /** Retry delays that opening a connection may take. */
  private static final int CONNECT_TIMEOUT_RETRY_DELAYS = 4;

  /** A version that nothing follows: the service answers it with the whole list. */
  private static final long NO_VERSION = -1;

  private final HttpClientConnector connections;
  private final InetSocketAddress service;
  private final int routerIndex;
  private final Duration retryDelay;
  private final EndpointNames names;
  private final Consumer<Consumer<RouterCore>> events;
  private final ScheduledFuture<?> silenceCheck;
  private SubscriptionState state = SubscriptionState.DISCONNECTED;
  private volatile long version = NO_VERSION;
  private volatile HttpClientConnection connection;
  private volatile long lastByteNanos = System.nanoTime();

  /**
   * A watcher that does nothing until {@link #follow()}.
   *
   * @param connections opens connections to the service
   * @param routerIndex by which the service knows this router
   * @param retryDelay time between the loss of a connection and the next try
   * @param events hands events to the router's loop
   */
  public EndpointListWatcher(
      HttpClientConnector connections,
      InetSocketAddress service,
      int routerIndex,
      Duration retryDelay,
      EndpointNames names,
      Consumer<Consumer<RouterCore>> events) {
    this.connections = connections;
    this.service = service;
    this.routerIndex = routerIndex;
    this.retryDelay = retryDelay;
    this.names = names;
    this.events = events;
    silenceCheck =
        TimerThread.EXECUTOR.scheduleAtFixedRate(
            this::checkSilence,
            retryDelay.toMillis(),
            retryDelay.toMillis(),
            TimeUnit.MILLISECONDS);
  }

  private synchronized void checkSilence() {
    long silentNanos = System.nanoTime() - lastByteNanos;
    if (!state.awaitsData() || silentNanos < SILENCE_TIMEOUT_RETRY_DELAYS * retryDelay.toNanos()) {
      return;
    }
    state = state.onDisconnect();
    follow(); // the old connection is closed once there is a new one
  }

  /** Opens a connection unless there is one or it is being opened. */
  public synchronized void follow() {
    if (state != SubscriptionState.DISCONNECTED) {
      return;
    }
    state = state.onConnect();
    lastByteNanos = System.nanoTime();
    Duration connectTimeout = retryDelay.multipliedBy(CONNECT_TIMEOUT_RETRY_DELAYS);
    connections.connect(
        service,
        connectTimeout,
        new HttpClientConnection.ConnectCallback() {
          @Override
          public void connected(HttpClientConnection opened) {
            requestList(opened);
          }

          @Override
          public void failed(ConnectFailure failure) {
            disconnected(failure.toString());
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
    opened.send(
        "GET",
        "/v1/workers?watch=1&router=" + routerIndex + "&from=" + version,
        Map.of(),
        new byte[0],
        new LineHandler(opened));
  }

  private synchronized void disconnected(String reason) {
    if (state == SubscriptionState.CLOSED) {
      return;
    }
    if (state != SubscriptionState.DISCONNECTED) {
      LOG.warn("list service away, the last list stays: {}", reason);
    }
    state = state.onDisconnect();
    events.accept(RouterCore::endpointListFailed);
    TimerThread.EXECUTOR.schedule(this::follow, retryDelay.toMillis(), TimeUnit.MILLISECONDS);
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

  /** Takes the lines of one connection; the selector's thread alone calls it. */
  private final class LineHandler implements HttpClientConnection.ResponseHandler {
    private final HttpClientConnection source;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();

    LineHandler(HttpClientConnection source) {
      this.source = source;
    }

    @Override
    public boolean bodyPart(byte[] bytes) {
      lastByteNanos = System.nanoTime();
      for (byte next : bytes) {
        if (next == '\n') {
          lineReceived(line.toString(StandardCharsets.UTF_8));
          line.reset();
        } else if (line.size() < MAX_LINE_BYTES) {
          line.write(next);
        } else {
          LOG.warn("a list line over {} bytes is refused", MAX_LINE_BYTES);
          source.close();
          return true;
        }
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
        requestWholeList();
        return;
      }
      if (!list.complete() && list.version() != version + 1) {
        LOG.warn(
            "list version {} follows {}: the whole list is asked for", list.version(), version);
        requestWholeList();
        return;
      }
      delivered();
      version = list.version();
      events.accept(core -> core.endpointListReceived(list.complete(), list.updates()));
    }

    /** The next connection asks for it. */
    private void requestWholeList() {
      version = NO_VERSION;
      source.close();
    }

    @Override
    public void responded(int status, Map<String, String> headers, byte[] body, boolean reusable) {
      source.close();
      ended("the service ended its answer with status " + status);
    }

    @Override
    public void connectionLost(CloseCause cause) {
      ended(cause.toString());
    }

    private void ended(String reason) {
      boolean replaced = source != connection;
      if (!replaced) {
        disconnected(reason);
      }
    }
  }
}

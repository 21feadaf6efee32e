package switchgap.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.http.HttpServerFilter;
import org.glassfish.grizzly.http.KeepAlive;
import org.glassfish.grizzly.nio.transport.TCPNIOBindingHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOServerConnection;
import org.glassfish.grizzly.utils.DelayedExecutor;

/**
 * An HTTP/1.1 server that receives requests whole, within {@link ConnectionLimits}, and hands each
 * to a request handler on a selector thread. Requests are not pipelined: a further one before the
 * response ends its connection.
 */
public final class HttpServer implements AutoCloseable {
  /** Handles requests on a selector thread, which it must not block. */
  public interface RequestHandler {
    /** A request was received; the response may come later and from any thread. */
    void handle(HttpExchange exchange);

    /** The client's connection ended before its request was responded to. */
    default void clientLeft(HttpExchange exchange) {}
  }

  /**
   * Grizzly measures idle connections by the wall clock (DelayedExecutor), so they are swept here
   * instead.
   */
  private static final DelayedExecutor NO_IDLE_TIMERS = null;

  private static final String DEFAULT_CONTENT_TYPE = "text/plain";
  private static final int UNLIMITED_REQUESTS = -1;
  private static final int MAX_REQUEST_HEADERS = 100;
  private static final int MAX_RESPONSE_HEADERS = 100;
  private static final int SWEEPS_PER_RECEIVE_TIMEOUT = 4;
  private static final long MIN_SWEEP_INTERVAL_MILLIS = 10;

  private final Attribute<ServerConnectionState> states =
      Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute(
          "switchgap.http-server-connection." + System.identityHashCode(this),
          ServerConnectionState::new);
  private final NetworkTransport transport;
  private final ConnectionLimits limits;
  private final RequestHandler handler;
  private final Set<Connection<?>> openConnections = ConcurrentHashMap.newKeySet();

  /** The timer thread alone uses it. */
  private final StallHistory stalls = new StallHistory();

  private TCPNIOServerConnection listener;
  private ScheduledFuture<?> sweeper;

  /** A server that does not listen yet. */
  public HttpServer(NetworkTransport transport, ConnectionLimits limits, RequestHandler handler) {
    this.transport = transport;
    this.limits = limits;
    this.handler = handler;
  }

  /**
   * Begins to accept connections.
   *
   * @param port the port to listen on; 0 takes any free one
   * @return the port that is listened on
   * @throws IOException when the address can't be listened on
   */
  public int listen(String host, int port) throws IOException {
    FilterChainBuilder filters = FilterChainBuilder.stateless();
    filters.add(new SocketFilter());
    filters.add(new RequestStartFilter(states));
    filters.add(httpFilter(limits));
    filters.add(new RequestAssemblyFilter(states, openConnections, limits, handler));
    TCPNIOBindingHandler binding =
        TCPNIOBindingHandler.builder(transport.transport).processor(filters.build()).build();
    listener = binding.bind(new InetSocketAddress(host, port), NetworkTransport.LISTEN_BACKLOG);
    long interval =
        Math.max(
            MIN_SWEEP_INTERVAL_MILLIS,
            limits.receiveTimeout().toMillis() / SWEEPS_PER_RECEIVE_TIMEOUT);
    StallDetector stallDetector =
        new StallDetector(Duration.ofMillis(interval), Duration.ofNanos(System.nanoTime()));
    sweeper =
        TimerThread.EXECUTOR.scheduleAtFixedRate(
            () -> closeOverdueConnections(stallDetector),
            interval,
            interval,
            TimeUnit.MILLISECONDS);
    return ((InetSocketAddress) listener.getLocalAddress()).getPort();
  }

  @SuppressWarnings("deprecation") // the constructors with bounds have no successor in this version
  private static HttpServerFilter httpFilter(ConnectionLimits limits) {
    KeepAlive keepAlive = new KeepAlive();
    keepAlive.setMaxRequestsCount(UNLIMITED_REQUESTS);
    return new HttpServerFilter(
        false,
        limits.maxHeaderBytes(),
        DEFAULT_CONTENT_TYPE,
        keepAlive,
        NO_IDLE_TIMERS,
        MAX_REQUEST_HEADERS,
        MAX_RESPONSE_HEADERS);
  }

  /** Stops accepting connections; open ones stay. */
  public void stopListening() {
    if (listener != null) {
      listener.closeSilently();
      listener = null;
    }
  }

  /**
   * Guards against clients that never complete a request: one byte a minute, half a head and then
   * silence, or a connection on which nothing comes at all. Each kept its place for good, until all
   * were taken. Pauses of the process do not count.
   */
  private void closeOverdueConnections(StallDetector stallDetector) {
    Duration now = Duration.ofNanos(System.nanoTime());
    Duration stall = stallDetector.recordCheck(now);
    stalls.add(now, stall);
    if (!stall.isZero()) {
      transport.awaitPendingReads(); // requests may have come meanwhile
    }
    openConnections.forEach(
        connection -> {
          if (states.get(connection).isOverdue(now, limits, stalls)) {
            ConnectionCloser.close(connection);
          }
        });
  }

  /** Stops accepting connections and closes the open ones. */
  @Override
  public void close() {
    stopListening();
    if (sweeper != null) {
      sweeper.cancel(false);
    }
    openConnections.forEach(ConnectionCloser::close);
  }
}

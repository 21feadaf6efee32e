package switchgap.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.nio.transport.TCPNIOBindingHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOServerConnection;

/**
 * An HTTP/1.1 server that receives complete requests, within {@link HttpServerLimits}, and passes
 * each to a request handler on a selector thread. Pipelining is not supported: another request that
 * arrives before the response closes the connection.
 */
public final class HttpServer implements AutoCloseable {
  /** Handles requests on a selector thread, which it must not block. */
  public interface RequestHandler {
    /** Handles a complete request. The response may be sent later and from any thread. */
    void handle(HttpExchange exchange);

    /** Called when the client's connection ended before the response was complete. */
    default void clientDisconnected(HttpExchange exchange) {}
  }

  /** Attempts to close the listener, as accepts may fail for a while. */
  private static final int MAX_CLOSE_ATTEMPTS = 3;

  private static final Duration CLOSE_ATTEMPT_TIMEOUT = Duration.ofMillis(200);

  private final Attribute<ServerConnectionState> states =
      Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute(
          "switchgap.http-server-connection." + System.identityHashCode(this),
          ServerConnectionState::new);
  private final NetworkTransport transport;
  private final HttpServerLimits limits;
  private final RequestHandler handler;
  private final Set<Connection<?>> openConnections = ConcurrentHashMap.newKeySet();
  private TCPNIOServerConnection listener;
  private volatile boolean stopping;
  private OverdueConnectionSweeper sweeper;

  /** Creates a server that does not listen until {@link #listen}. */
  public HttpServer(NetworkTransport transport, HttpServerLimits limits, RequestHandler handler) {
    this.transport = transport;
    this.limits = limits;
    this.handler = handler;
  }

  /**
   * Starts to accept connections.
   *
   * @param port the port to listen on, or 0 for any free port
   * @return the port that the server listens on
   * @throws IOException if the socket can't be bound to the address
   */
  public int listen(String host, int port) throws IOException {
    FilterChainBuilder filters = FilterChainBuilder.stateless();
    filters.add(new SocketFilter());
    filters.add(new RequestStartFilter(states));
    filters.add(new RequestCodecFilter(limits));
    filters.add(
        new RequestAssemblyFilter(states, openConnections, limits, handler, () -> !stopping));
    TCPNIOBindingHandler binding =
        TCPNIOBindingHandler.builder(transport.transport).processor(filters.build()).build();
    listener = binding.bind(new InetSocketAddress(host, port), NetworkTransport.LISTEN_BACKLOG);
    sweeper = new OverdueConnectionSweeper(transport, limits, openConnections, states);
    return ((InetSocketAddress) listener.getLocalAddress()).getPort();
  }

  /**
   * Accepts the clients that wait in the kernel's accept queue, then stops accepting connections.
   * Open connections are not closed, but from now on each is closed after its next response, which
   * says so. Blocks for a bounded time; must not be called on a selector thread.
   */
  public void stopListening() {
    stopping = true;
    if (listener == null) {
      return;
    }
    ListenerCloser closer = new ListenerCloser(listener);
    for (int attempt = 0; attempt < MAX_CLOSE_ATTEMPTS; attempt++) {
      if (closer.close(CLOSE_ATTEMPT_TIMEOUT)) {
        break;
      }
    }
    closeListener();
  }

  private void closeListener() {
    if (listener != null) {
      listener.closeSilently();
      listener = null;
    }
  }

  /** Stops accepting connections and closes all open connections, all at once. */
  @Override
  public void close() {
    closeListener();
    if (sweeper != null) {
      sweeper.close();
    }
    openConnections.forEach(ConnectionCloser::close);
  }
}

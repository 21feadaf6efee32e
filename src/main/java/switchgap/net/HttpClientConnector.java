package switchgap.net;

import java.net.InetSocketAddress;
import java.time.Duration;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.nio.transport.TCPNIOConnectorHandler;

/** Opens HTTP client connections that share one filter chain. */
public final class HttpClientConnector {
  private final Attribute<HttpClientConnection> connections =
      Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute(
          "switchgap.http-client-connection." + System.identityHashCode(this));
  private final TCPNIOConnectorHandler connector;
  private final InetSocketAddress localAddress;
  private final int maxBodyBytes;

  /**
   * Creates a connector without opening a connection.
   *
   * @param localHost the local address to connect from, or null for any
   * @param maxBodyBytes maximum size of the collected body of a response
   */
  public HttpClientConnector(NetworkTransport transport, String localHost, int maxBodyBytes) {
    this.maxBodyBytes = maxBodyBytes;
    this.localAddress = localHost == null ? null : new InetSocketAddress(localHost, 0);
    FilterChainBuilder filters = FilterChainBuilder.stateless();
    filters.add(new SocketFilter());
    filters.add(new UnsolicitedBytesFilter(connections));
    filters.add(new InterimResponseFilter(connections));
    filters.add(new ResponseCodecFilter());
    filters.add(new ResponseFilter(connections));
    this.connector =
        TCPNIOConnectorHandler.builder(transport.transport).processor(filters.build()).build();
  }

  /**
   * Starts to open a connection. The callback receives the outcome exactly once, within the
   * timeout.
   */
  public void connect(
      InetSocketAddress remote, Duration timeout, HttpClientConnection.ConnectCallback callback) {
    Connector.connect(
        connector,
        remote,
        localAddress,
        timeout,
        callback,
        new Connector.ConnectionAdapter<>(this::wrap, HttpClientConnection::close));
  }

  private HttpClientConnection wrap(Connection<?> opened) {
    HttpClientConnection connection = new HttpClientConnection(opened, maxBodyBytes);
    connections.set(opened, connection);
    return connection;
  }
}

package switchgap.net;

import java.net.InetSocketAddress;
import java.time.Duration;
import org.glassfish.grizzly.nio.transport.TCPNIOConnectorHandler;

/** Opens TCP connections that share one listener and one filter chain. */
public final class TcpConnector {
  private final TcpConnectionFilter filter;
  private final TCPNIOConnectorHandler connector;

  /** Creates a connector whose connections report their events to {@code listener}. */
  public TcpConnector(NetworkTransport transport, TcpConnection.Listener listener) {
    filter = new TcpConnectionFilter(listener);
    connector =
        TCPNIOConnectorHandler.builder(transport.transport)
            .processor(TcpConnection.filterChain(filter))
            .build();
  }

  /**
   * Starts to open a connection. The callback receives the outcome exactly once, within the
   * timeout.
   */
  public void connect(
      InetSocketAddress remote,
      Duration timeout,
      Connector.ConnectCallback<TcpConnection> callback) {
    Connector.connect(
        connector,
        remote,
        null,
        timeout,
        callback,
        new Connector.ConnectionAdapter<>(
            filter::connectionOf,
            connection -> connection.close(CloseReason.Transport.OPENED_TOO_LATE)));
  }
}

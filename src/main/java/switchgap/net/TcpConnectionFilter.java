package switchgap.net;

import java.time.Duration;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;

/**
 * The last filter of a plain TCP filter chain. Converts Grizzly's events to calls of a listener.
 */
final class TcpConnectionFilter extends BaseFilter {
  private final Attribute<TcpConnection> connections =
      Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute(
          "switchgap.tcp-connection." + System.identityHashCode(this));
  private final TcpConnection.Listener listener;

  TcpConnectionFilter(TcpConnection.Listener listener) {
    this.listener = listener;
  }

  /**
   * Returns the connection that was created for a Grizzly connection when it opened, or null if it
   * has not opened.
   */
  TcpConnection connectionOf(Connection<?> connection) {
    return connections.get(connection);
  }

  @Override
  public NextAction handleAccept(FilterChainContext context) {
    return open(context, SelectorThreadStrategy.maxAcceptDelay());
  }

  @Override
  public NextAction handleConnect(FilterChainContext context) {
    return open(context, Duration.ZERO);
  }

  private NextAction open(FilterChainContext context, Duration acceptDelay) {
    TcpConnection connection = new TcpConnection(context.getConnection(), listener, acceptDelay);
    connections.set(context.getConnection(), connection);
    listener.opened(connection);
    return context.getStopAction();
  }

  @Override
  public NextAction handleRead(FilterChainContext context) {
    Buffer bytes = context.getMessage();
    TcpConnection connection = connectionOf(context.getConnection());
    if (connection != null && !connection.isClosed()) {
      connection.received(bytes.toByteBuffer());
    }
    bytes.tryDispose();
    return context.getStopAction();
  }

  @Override
  public NextAction handleClose(FilterChainContext context) {
    TcpConnection connection = connectionOf(context.getConnection());
    if (connection != null) {
      connection.close(CloseReason.Transport.PEER_CLOSED);
    }
    return context.getStopAction();
  }
}

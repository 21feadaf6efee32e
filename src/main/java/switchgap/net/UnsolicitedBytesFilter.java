package switchgap.net;

import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;

/**
 * Closes a connection that receives bytes while no exchange is pending. A second response to one
 * request could otherwise be read as the response to the next request.
 */
final class UnsolicitedBytesFilter extends BaseFilter {
  private final Attribute<HttpClientConnection> connections;

  UnsolicitedBytesFilter(Attribute<HttpClientConnection> connections) {
    this.connections = connections;
  }

  @Override
  public NextAction handleRead(FilterChainContext context) {
    HttpClientConnection connection = connections.get(context.getConnection());
    if (connection == null) {
      context.getConnection().closeSilently();
      return context.getStopAction();
    }
    if (!connection.hasPendingExchange()) {
      connection.rejectUnsolicitedBytes();
      return context.getStopAction();
    }
    return context.getInvokeAction();
  }
}

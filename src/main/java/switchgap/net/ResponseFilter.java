package switchgap.net;

import org.glassfish.grizzly.Context;
import org.glassfish.grizzly.IOEventLifeCycleListener;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;

/**
 * The last filter of a client's filter chain. Passes parsed responses and the end of the connection
 * to the {@link HttpClientConnection}.
 */
final class ResponseFilter extends BaseFilter {
  private final Attribute<HttpClientConnection> connections;

  ResponseFilter(Attribute<HttpClientConnection> connections) {
    this.connections = connections;
  }

  @Override
  public NextAction handleRead(FilterChainContext context) {
    HttpClientConnection connection = connections.get(context.getConnection());
    if (connection != null && connection.receive(context.getMessage())) {
      context.getInternalContext().addLifeCycleListener(new DeliveryListener(connection));
    }
    return context.getStopAction();
  }

  @Override
  public NextAction handleClose(FilterChainContext context) {
    HttpClientConnection connection = connections.get(context.getConnection());
    if (connection != null) {
      connection.connectionEnded(CloseCause.of(HttpCloseReason.CONNECTION_ENDED));
    }
    return context.getInvokeAction();
  }

  @Override
  public void exceptionOccurred(FilterChainContext context, Throwable error) {
    HttpClientConnection connection = connections.get(context.getConnection());
    context.getConnection().closeSilently();
    if (connection != null) {
      connection.connectionEnded(
          new CloseCause(HttpCloseReason.MALFORMED_RESPONSE, String.valueOf(error.getMessage())));
    }
  }

  /**
   * Delivers a response after all bytes that were read together with it have been processed. If
   * these bytes contain a second response, it must be detected before the connection becomes
   * available for the next exchange.
   */
  private static final class DeliveryListener extends IOEventLifeCycleListener.Adapter {
    private final HttpClientConnection connection;

    DeliveryListener(HttpClientConnection connection) {
      this.connection = connection;
    }

    @Override
    public void onComplete(Context context, Object data) {
      connection.deliverPending();
    }

    @Override
    public void onReregister(Context context) {
      connection.deliverPending();
    }

    @Override
    public void onError(Context context, Object description) {
      connection.deliverPending();
    }

    @Override
    public void onTerminate(Context context) {
      connection.deliverPending();
    }

    @Override
    public void onNotRun(Context context) {
      connection.deliverPending();
    }

    @Override
    public void onLeave(Context context) {
      connection.deliverPending();
    }
  }
}

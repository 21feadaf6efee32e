package switchgap.net;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;

/**
 * The last filter of a server's filter chain. Limits the number of open connections, collects
 * request bodies, passes complete requests to the request handler, and reports clients that
 * disconnect.
 */
final class RequestAssemblyFilter extends BaseFilter {
  private static final int PAYLOAD_TOO_LARGE = 413;
  private static final byte[] NO_BODY = new byte[0];

  private final Attribute<ServerConnectionState> states;
  private final Set<Connection<?>> openConnections;
  private final HttpServerLimits limits;
  private final HttpServer.RequestHandler handler;
  private final BooleanSupplier keepAlive;

  RequestAssemblyFilter(
      Attribute<ServerConnectionState> states,
      Set<Connection<?>> openConnections,
      HttpServerLimits limits,
      HttpServer.RequestHandler handler,
      BooleanSupplier keepAlive) {
    this.states = states;
    this.openConnections = openConnections;
    this.limits = limits;
    this.handler = handler;
    this.keepAlive = keepAlive;
  }

  @Override
  public NextAction handleAccept(FilterChainContext context) {
    if (openConnections.size() >= limits.maxConnections()) {
      context.getConnection().closeSilently();
    } else {
      openConnections.add(context.getConnection());
    }
    return context.getInvokeAction();
  }

  @Override
  public NextAction handleClose(FilterChainContext context) {
    openConnections.remove(context.getConnection());
    ServerConnectionState state = states.peek(context.getConnection());
    HttpExchange exchange = state == null ? null : state.pendingExchange();
    if (exchange != null) {
      state.exchangeEnded();
      handler.clientDisconnected(exchange);
    }
    return context.getInvokeAction();
  }

  @Override
  public NextAction handleRead(FilterChainContext context) {
    HttpContent part = context.getMessage();
    Connection<?> connection = context.getConnection();
    ServerConnectionState state = states.get(connection);
    if (state.pendingExchange() != null) { // Pipelining is not supported.
      ConnectionCloser.close(connection);
      return context.getStopAction();
    }
    HttpRequestPacket request = (HttpRequestPacket) part.getHttpHeader();
    if (isBodyTooLarge(part, request, state)) {
      // Rejected as soon as the size is known; the rest is ignored until the connection is closed.
      state.discardBody();
      rejectTooLarge(connection, request);
      return context.getStopAction();
    }
    state.body().append(part.getContent(), request.getContentLength());
    boolean complete = part.isLast();
    part.recycle();
    if (complete && !state.isDiscardingBody()) {
      startExchange(connection, request, state);
    }
    return context.getStopAction();
  }

  private boolean isBodyTooLarge(
      HttpContent part, HttpRequestPacket request, ServerConnectionState state) {
    Buffer content = part.getContent();
    int length = content == null ? 0 : content.remaining();
    return state.body().size() + length > limits.maxBodyBytes()
        || request.getContentLength() > limits.maxBodyBytes();
  }

  private void startExchange(
      Connection<?> connection, HttpRequestPacket request, ServerConnectionState state) {
    HttpExchange exchange =
        new HttpExchange(connection, request, state.body().take(), keepAlive, state::exchangeEnded);
    state.exchangeStarted(exchange);
    handler.handle(exchange);
  }

  private void rejectTooLarge(Connection<?> connection, HttpRequestPacket request) {
    request.getProcessingState().setKeepAlive(false);
    String problem =
        "{\"title\":\"refused\",\"status\":"
            + PAYLOAD_TOO_LARGE
            + ",\"detail\":\"body larger than "
            + limits.maxBodyBytes()
            + " bytes\"}";
    new HttpExchange(connection, request, NO_BODY, keepAlive, () -> {})
        .respond(
            PAYLOAD_TOO_LARGE,
            Map.of("Content-Type", "application/problem+json", "Connection", "close"),
            problem.getBytes(StandardCharsets.UTF_8));
  }
}

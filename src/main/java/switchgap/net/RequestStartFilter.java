package switchgap.net;

import java.nio.charset.StandardCharsets;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;

/**
 * Runs before the HTTP filter to record when a request starts, even if its head is never completed,
 * and to reject bytes that do not start with a method.
 */
final class RequestStartFilter extends BaseFilter {
  private static final byte[] BAD_REQUEST =
      "HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
          .getBytes(StandardCharsets.US_ASCII);

  private final Attribute<ServerConnectionState> states;

  RequestStartFilter(Attribute<ServerConnectionState> states) {
    this.states = states;
  }

  @Override
  public NextAction handleRead(FilterChainContext context) {
    Connection<?> connection = context.getConnection();
    ServerConnectionState state = states.get(connection);
    if (state.pendingExchange() != null) {
      return context.getInvokeAction(); // The bytes belong to no request that is being received.
    }
    Buffer input = context.getMessage();
    RequestMethodScanner.Result result = state.methodScanner().scan(input);
    if (result == RequestMethodScanner.Result.MALFORMED) {
      RawBytesWriter.write(connection, BAD_REQUEST, new EmptyCompletionHandler<>());
      ConnectionCloser.close(connection);
      return context.getStopAction();
    }
    if (!input.hasRemaining()) {
      return context.getStopAction();
    }
    if (input.position() > 0) {
      context.setMessage(input.slice()); // The parser counts from the start of the buffer.
    }
    state.bytesArrived();
    return context.getInvokeAction();
  }
}

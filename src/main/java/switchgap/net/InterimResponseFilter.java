package switchgap.net;

import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;

/**
 * Drops interim responses (1xx). Guards against reading one as a response with a body that never
 * ends, which would leave the exchange pending until its timeout.
 */
final class InterimResponseFilter extends BaseFilter {
  private static final int MAX_HEAD_BYTES = 16 << 10;
  private static final int STATUS_OFFSET = "HTTP/1.1 ".length();
  private static final char FIRST_DIGIT_OF_INTERIM_STATUS = '1';
  private static final int NOT_FOUND = -1;

  private final Attribute<HttpClientConnection> connections;

  InterimResponseFilter(Attribute<HttpClientConnection> connections) {
    this.connections = connections;
  }

  @Override
  public NextAction handleRead(FilterChainContext context) {
    HttpClientConnection connection = connections.get(context.getConnection());
    Buffer input = context.getMessage();
    while (!connection.isFinalResponseStarted()) {
      if (input.remaining() <= STATUS_OFFSET) {
        return context.getStopAction(input);
      }
      if (input.get(input.position() + STATUS_OFFSET) != FIRST_DIGIT_OF_INTERIM_STATUS) {
        connection.startFinalResponse();
        break;
      }
      int end = endOfHead(input);
      if (end == NOT_FOUND && input.remaining() < MAX_HEAD_BYTES) {
        return context.getStopAction(input); // Grizzly prepends it to the next read
      }
      if (end == NOT_FOUND) {
        context.getConnection().closeSilently();
        return context.getStopAction();
      }
      if (end == input.limit()) {
        return context.getStopAction();
      }
      input = input.slice(end, input.limit());
      context.setMessage(input);
    }
    return context.getInvokeAction();
  }

  /**
   * The position behind the empty line that ends the head, or {@link #NOT_FOUND} if it has not
   * arrived.
   */
  private static int endOfHead(Buffer input) {
    for (int i = input.position() + 3; i < input.limit(); i++) {
      if (input.get(i) == '\n' && input.get(i - 2) == '\n') {
        return i + 1;
      }
    }
    return NOT_FOUND;
  }
}

package switchgap.net;

import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;

/**
 * Drops interim responses (1xx). Grizzly's HTTP filter would otherwise read an interim response as
 * a response whose body never ends, which would leave the exchange pending until its timeout.
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
      int headEnd = findEndOfHead(input);
      if (headEnd == NOT_FOUND && input.remaining() < MAX_HEAD_BYTES) {
        return context.getStopAction(input); // Grizzly prepends the input to the next read.
      }
      if (headEnd == NOT_FOUND) {
        context.getConnection().closeSilently();
        return context.getStopAction();
      }
      if (headEnd == input.limit()) {
        return context.getStopAction();
      }
      input = input.slice(headEnd, input.limit());
      context.setMessage(input);
    }
    return context.getInvokeAction();
  }

  /**
   * Returns the position after the empty line that ends the head, or {@link #NOT_FOUND} if that
   * line has not arrived.
   */
  private static int findEndOfHead(Buffer input) {
    for (int i = input.position() + 3; i < input.limit(); i++) {
      if (input.get(i) == '\n' && input.get(i - 2) == '\n') {
        return i + 1;
      }
    }
    return NOT_FOUND;
  }
}

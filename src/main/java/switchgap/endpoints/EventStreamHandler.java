package switchgap.endpoints;

import java.util.Map;
import switchgap.net.CloseCause;
import switchgap.net.HttpClientConnection;
import switchgap.protocol.sse.ServerSentEventDecoder;

/**
 * Decodes the event stream of one attempt and passes its events to the client. Used only on the
 * selector thread of the attempt's connection.
 */
final class EventStreamHandler implements HttpClientConnection.ResponseHandler {
  private static final int MAX_EVENT_BYTES = 2 << 20;

  private final EventStreamClient client;
  private final long attempt;
  private final ServerSentEventDecoder decoder = new ServerSentEventDecoder(MAX_EVENT_BYTES);
  private final long requestedAtNanos = System.nanoTime();

  /** Creates a handler for the attempt with this number, immediately before its request is sent. */
  EventStreamHandler(EventStreamClient client, long attempt) {
    this.client = client;
    this.attempt = attempt;
  }

  @Override
  public boolean bodyPart(byte[] bytes) {
    if (!client.isCurrent(attempt)) {
      return true;
    }
    long linesBefore = decoder.lineCount();
    long commentsBefore = decoder.commentCount();
    boolean isWithinBounds =
        decoder.decode(bytes, (id, data) -> client.eventReceived(attempt, data));
    boolean hasCompleteLine = decoder.lineCount() > linesBefore;
    if (hasCompleteLine) { // An endless line must be treated as silence.
      boolean hasHeartbeat = decoder.commentCount() > commentsBefore;
      client.linesReceived(attempt, requestedAtNanos, hasHeartbeat && !decoder.hasPartialEvent());
    }
    if (!isWithinBounds) {
      String detail = "more than " + MAX_EVENT_BYTES + " bytes";
      client.disconnected(attempt, SubscriptionEndReason.EVENT_TOO_LONG.with(detail));
    }
    return true;
  }

  @Override
  public void responded(int status, Map<String, String> headers, byte[] body, boolean reusable) {
    client.disconnected(attempt, SubscriptionEndReason.RESPONSE_ENDED.with("status " + status));
  }

  @Override
  public void connectionLost(CloseCause cause) {
    client.disconnected(attempt, cause);
  }
}

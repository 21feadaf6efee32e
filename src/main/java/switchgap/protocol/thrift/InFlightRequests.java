package switchgap.protocol.thrift;

import java.util.HashMap;
import java.util.Map;
import switchgap.router.PendingRequest;

/**
 * The requests that were offered to the core and have no response yet, with limits on their number
 * and on the bytes of their bodies. A connection may use at most as much of each limit as remains
 * free, so that none can use up what the others need; see {@link SharedCapacity}. An id is in
 * flight at most once, on one connection. Event loop only.
 */
final class InFlightRequests {
  private final int maxRequests;
  private final int maxBodyBytes;
  private final Map<String, ClientConnection> connectionByRequestId = new HashMap<>();
  private int bodyBytes;

  InFlightRequests(int maxRequests, int maxBodyBytes) {
    this.maxRequests = maxRequests;
    this.maxBodyBytes = maxBodyBytes;
  }

  int size() {
    return connectionByRequestId.size();
  }

  /** The connection of the request in flight with this id, or null if there is none. */
  ClientConnection connectionOf(String requestId) {
    return connectionByRequestId.get(requestId);
  }

  /** Whether the connection has as many requests in flight as may be added at all. */
  boolean isShareUsedUp(ClientConnection connection) {
    return connection.requestsInFlight() >= maxRequests - size();
  }

  /** Whether the request fits within the limits and the connection's share of them. */
  boolean hasCapacityFor(ClientConnection connection, PendingRequest request) {
    int bodyLength = request.body().length;
    boolean hasSpaceForBody =
        bodyLength == 0 || connection.bodyBytesInFlight() + bodyLength <= maxBodyBytes - bodyBytes;
    return !isShareUsedUp(connection) && hasSpaceForBody;
  }

  void add(ReplyAddress address, PendingRequest request) {
    connectionByRequestId.put(request.id(), address.connection());
    bodyBytes += request.body().length;
    address.connection().requestAdded(address.sequenceId(), request);
  }

  void remove(ReplyAddress address, PendingRequest request) {
    address.connection().requestRemoved(address.sequenceId());
    release(request);
  }

  /** Releases the capacity of a request; the caller removes it from its connection. */
  void release(PendingRequest request) {
    connectionByRequestId.remove(request.id());
    bodyBytes -= request.body().length;
  }
}

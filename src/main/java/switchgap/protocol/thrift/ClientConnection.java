package switchgap.protocol.thrift;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;
import switchgap.net.StallHistory;
import switchgap.net.TcpConnection;
import switchgap.router.PendingRequest;

/**
 * A client connection. The selector thread decodes its frames and counts the messages that it
 * queues; the requests in flight belong to the event loop. Fields that both threads use are
 * volatile or concurrent.
 */
final class ClientConnection {
  /** Value of {@link #firstReadReceivedAt} if the bytes of the first read had not waited. */
  private static final Duration NO_EARLIER_BOUND = Duration.ofSeconds(Long.MAX_VALUE);

  private final TcpConnection connection;
  private final Supplier<Duration> clock;
  private final int maxUnsentBytes;
  private final MessageReceiver receiver;

  /** Requests in flight by sequence id. Event loop only. */
  private final Map<Integer, PendingRequest> inFlight = new HashMap<>();

  private final AtomicInteger queuedMessages = new AtomicInteger();

  /**
   * Times at which the selector thread read revokes that the event loop has not handled yet, by the
   * revoked sequence id. Bounded by the number of queued messages.
   */
  private final Map<Integer, Duration> revokedAt = new ConcurrentHashMap<>();

  /** Earliest possible arrival of the first read's bytes; null before it. Selector thread only. */
  private Duration firstReadReceivedAt;

  /** Whether the event loop is evicting the connection, so that messages read now are rejected. */
  private volatile boolean isEvicting;

  /** Time of the connect, the last handled message or the last reply sent, whichever is latest. */
  private volatile long lastActiveNanos;

  private volatile Duration closedAt;

  /**
   * Creates the state of a connection that has just been opened.
   *
   * @param clock returns the time since the router's start
   * @param maxUnsentBytes maximum number of reply bytes that the client may leave unread
   */
  ClientConnection(TcpConnection connection, Supplier<Duration> clock, int maxUnsentBytes) {
    this.connection = connection;
    this.maxUnsentBytes = maxUnsentBytes;
    this.clock = clock;
    Duration openedAt = clock.get();
    receiver = new MessageReceiver(openedAt);
    lastActiveNanos = openedAt.toNanos();
  }

  // ------------------------------------------------------------------ callable on any thread

  boolean isOpen() {
    return connection.isOpen();
  }

  /** Identifies the connection in logs and events. */
  String id() {
    return connection.id();
  }

  void close(ClientCloseReason reason) {
    connection.close(reason);
  }

  /** Sends a reply, or closes the connection if the client has left too many reply bytes unread. */
  void send(byte[] reply) {
    if (connection.unsentBytes() > maxUnsentBytes) {
      close(ClientCloseReason.REPLIES_UNREAD);
    } else {
      connection.send(reply);
      lastActiveNanos = clock.get().toNanos();
    }
  }

  /** Sends a reply regardless of unsent bytes; the caller closes the connection right after it. */
  void sendBeforeClose(byte[] reply) {
    connection.send(reply);
  }

  /** Whether reply bytes are still waiting to be written to the socket. */
  boolean hasUnsentReplies() {
    return connection.unsentBytes() > 0;
  }

  /** Time at which the close of the connection was detected, or null while it is open. */
  Duration closedAt() {
    return closedAt;
  }

  /** Number of messages that are queued for the event loop. */
  int queuedMessages() {
    return queuedMessages.get();
  }

  /** Counts a message that is about to be queued for the event loop; returns the new number. */
  int messageQueued() {
    return queuedMessages.incrementAndGet();
  }

  /** Decrements the count after a queued message has reached the event loop or was rejected. */
  void messageDequeued() {
    queuedMessages.decrementAndGet();
  }

  /** Whether a revoke of the request has been read but not handled yet. */
  boolean isRevoked(int sequenceId) {
    return revokedAt.containsKey(sequenceId);
  }

  /** Time at which an unhandled revoke of the request was read, or null if there is none. */
  Duration revokedAt(int sequenceId) {
    return revokedAt.get(sequenceId);
  }

  // ------------------------------------------------------------------ selector thread only

  /**
   * Returns the earliest time at which the bytes of the current read may have arrived. If the bytes
   * of the first read had waited in the kernel, the rest of the first message may have waited as
   * long, even if it is read in several parts.
   *
   * @param receivedAt the earliest arrival time that follows from this read alone
   * @param receiveDelay the maximum time that the bytes of this read may have waited
   */
  Duration earliestReceivedAt(Duration receivedAt, Duration receiveDelay) {
    if (receiver.hasReceivedMessage()) {
      return receivedAt;
    }
    if (firstReadReceivedAt == null) {
      firstReadReceivedAt = receiveDelay.isZero() ? NO_EARLIER_BOUND : receivedAt;
    }
    return firstReadReceivedAt.compareTo(receivedAt) < 0 ? firstReadReceivedAt : receivedAt;
  }

  /** Passes complete frames to the handler; returns false once a length is out of bounds. */
  boolean receive(ByteBuffer bytes, Consumer<byte[]> frameHandler, Duration now) {
    return receiver.receive(bytes, frameHandler, now);
  }

  /** Records that a complete message was received. */
  void messageReceived() {
    receiver.messageReceived();
  }

  /** Records a revoke that was read: from now on no attempt of the request is sent to a worker. */
  void revokeReceived(int sequenceId, Duration now) {
    revokedAt.put(sequenceId, now);
  }

  /** Whether the event loop is evicting the connection. */
  boolean isEvicting() {
    return isEvicting;
  }

  /** Records the time at which the close of the connection was detected. */
  void connectionClosed() {
    closedAt = clock.get();
  }

  // ------------------------------------------------------------------ event loop only

  /** Adds a request of this connection to those in flight. */
  void requestAdded(int sequenceId, PendingRequest request) {
    inFlight.put(sequenceId, request);
  }

  /** Removes and returns the request in flight with this sequence id, or null if none has it. */
  PendingRequest requestRemoved(int sequenceId) {
    return inFlight.remove(sequenceId);
  }

  void allRequestsRemoved() {
    inFlight.clear();
  }

  boolean hasRequestInFlight(int sequenceId) {
    return inFlight.containsKey(sequenceId);
  }

  int requestsInFlight() {
    return inFlight.size();
  }

  /** Visits each request in flight with its sequence id; the visitor must not add or remove any. */
  void forEachRequest(BiConsumer<Integer, PendingRequest> visitor) {
    inFlight.forEach(visitor);
  }

  /** A copy of the requests in flight, so that callers may remove them while iterating. */
  List<PendingRequest> requestSnapshot() {
    return List.copyOf(inFlight.values());
  }

  /** Records the time at which the event loop handles a message. */
  void messageHandledAt(Duration now) {
    lastActiveNanos = now.toNanos();
  }

  /** Removes the record of an unhandled revoke, as the event loop handles it now. */
  void revokeHandled(int sequenceId) {
    revokedAt.remove(sequenceId);
  }

  /**
   * Closes the connection unless it is in use. If the selector thread reads a message at the same
   * time, either it sees {@link #isEvicting} and rejects the message, or this method sees the
   * message and leaves the connection open.
   *
   * @return whether the connection was closed
   */
  boolean evict(ClientCloseReason reason) {
    isEvicting = true;
    if (!isIdle()) {
      isEvicting = false;
      return false;
    }
    close(reason);
    return true;
  }

  /** Whether no request is in flight, queued for the event loop or partially received. */
  boolean isIdle() {
    return inFlight.isEmpty() && queuedMessages.get() == 0 && !receiver.hasPartialMessage();
  }

  /** Whether a request is in flight, queued or partially received, or a reply is unwritten. */
  boolean isActive() {
    return isOpen() && (!isIdle() || hasUnsentReplies());
  }

  /** Whether the client has ever sent a complete message. */
  boolean hasReceivedMessage() {
    return receiver.hasReceivedMessage();
  }

  /** Whether the client connected longer than the timeout ago and has sent no complete message. */
  boolean isSilent(Duration now, Duration timeout) {
    return !receiver.hasReceivedMessage() && isQuiet(now, timeout);
  }

  /** Whether no message was handled and no reply was sent for longer than the given duration. */
  boolean isQuiet(Duration now, Duration minDuration) {
    return now.toNanos() - lastActiveNanos > minDuration.toNanos();
  }

  /** Whether a message is due for longer than the timeout, excluding stalls of the process. */
  boolean isReceiveOverdue(Duration now, Duration timeout, StallHistory stalls) {
    return receiver.isOverdue(now, timeout, stalls);
  }

  /** Time of the connect, the last handled message or the last reply sent, whichever is latest. */
  long lastActiveNanos() {
    return lastActiveNanos;
  }
}

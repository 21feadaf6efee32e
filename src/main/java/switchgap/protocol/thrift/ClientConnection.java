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
 * One client's connection. The selector thread decodes its frames and counts what it queues; the
 * requests in flight and the time of the last message belong to the event loop. Fields that both
 * read are volatile or concurrent.
 */
final class ClientConnection {
  /** In place of a time: the bytes that were read first had not waited. */
  private static final Duration NEVER_WAITED = Duration.ofSeconds(Long.MAX_VALUE);

  private final TcpConnection connection;
  private final Supplier<Duration> clock;
  private final int maxUnsentBytes;
  private final MessageReceiver receiver;

  /** Requests without their response, by sequence id; event loop only. */
  private final Map<Integer, PendingRequest> inFlight = new HashMap<>();

  private final AtomicInteger queuedMessages = new AtomicInteger();

  /**
   * When the selector thread read a revoke that the event loop has not handled, by the sequence id
   * that it names; bounded by the number of queued messages.
   */
  private final Map<Integer, Duration> revokedAt = new ConcurrentHashMap<>();

  /**
   * Since when the bytes that were read first may have waited; null before the first read. Selector
   * thread only.
   */
  private Duration firstWaitedSince;

  /** Whether the event loop is about to evict it; messages read from now on are rejected. */
  private volatile boolean evicting;

  /** When it was opened, its last message was handled or its last reply was given to the socket. */
  private volatile long lastActiveNanos;

  private volatile Duration closedAt;

  /**
   * A connection that has just been opened.
   *
   * @param clock time since the router's start
   * @param maxUnsentBytes reply bytes that its client may leave unread
   */
  ClientConnection(TcpConnection connection, Supplier<Duration> clock, int maxUnsentBytes) {
    this.connection = connection;
    this.maxUnsentBytes = maxUnsentBytes;
    this.clock = clock;
    Duration openedAt = clock.get();
    receiver = new MessageReceiver(openedAt);
    lastActiveNanos = openedAt.toNanos();
  }

  // ------------------------------------------------------------------ any thread

  boolean isOpen() {
    return connection.isOpen();
  }

  /** Its name in the log. */
  String id() {
    return connection.id();
  }

  void close(ClientCloseReason reason) {
    connection.close(reason);
  }

  /** Sends a reply; closes a connection whose client does not read its replies. */
  void send(byte[] reply) {
    if (connection.unsentBytes() > maxUnsentBytes) {
      close(ClientCloseReason.REPLIES_UNREAD);
    } else {
      connection.send(reply);
      lastActiveNanos = clock.get().toNanos();
    }
  }

  /** Sends a reply regardless of unsent bytes, as the connection is closed right after it. */
  void sendLast(byte[] reply) {
    connection.send(reply);
  }

  /** Whether its client has not taken all replies. */
  boolean hasUnsentReplies() {
    return connection.unsentBytes() > 0;
  }

  /** When the end of the connection was seen, or null. */
  Duration closedAt() {
    return closedAt;
  }

  /** Messages that wait for the event loop. */
  int queuedMessages() {
    return queuedMessages.get();
  }

  /** Counts a message that is about to be queued for the event loop, and returns the new count. */
  int messageQueued() {
    return queuedMessages.incrementAndGet();
  }

  /** A queued message has reached the event loop, or was rejected. */
  void messageDequeued() {
    queuedMessages.decrementAndGet();
  }

  /** Whether a revoke of the request has been read and not handled yet. */
  boolean isRevoked(int sequenceId) {
    return revokedAt.containsKey(sequenceId);
  }

  /** When a revoke of the request was read that has not been handled yet, or null. */
  Duration revokedAt(int sequenceId) {
    return revokedAt.get(sequenceId);
  }

  // ------------------------------------------------------------------ on the selector thread

  /**
   * When the bytes that are being read may have arrived at the earliest. Where those read first had
   * waited, so may have all others of the first message, in however many reads they come.
   *
   * @param receivedAt the same, going by this read alone
   * @param receiveDelay how long the bytes of this read may have waited, at most
   */
  Duration boundReceivedAt(Duration receivedAt, Duration receiveDelay) {
    if (receiver.hasReceivedMessage()) {
      return receivedAt;
    }
    if (firstWaitedSince == null) {
      firstWaitedSince = receiveDelay.isZero() ? NEVER_WAITED : receivedAt;
    }
    return firstWaitedSince.compareTo(receivedAt) < 0 ? firstWaitedSince : receivedAt;
  }

  /** Hands on each complete frame; returns false, for good, at a length that is out of bounds. */
  boolean receive(ByteBuffer bytes, Consumer<byte[]> frameHandler, Duration now) {
    return receiver.receive(bytes, frameHandler, now);
  }

  /** A complete message came. */
  void messageReceived() {
    receiver.messageReceived();
  }

  /** A revoke was read: from now on nothing is sent to a worker for that request. */
  void revokeReceived(int sequenceId, Duration now) {
    revokedAt.put(sequenceId, now);
  }

  /** Whether the event loop is about to evict it. */
  boolean isEvicting() {
    return evicting;
  }

  /** The end of the connection was seen. */
  void closed() {
    closedAt = clock.get();
  }

  // ------------------------------------------------------------------ on the event loop

  /** A request of this connection is in flight from now on. */
  void requestAdded(int sequenceId, PendingRequest request) {
    inFlight.put(sequenceId, request);
  }

  /** The request is no longer in flight; returns it, or null if it was not. */
  PendingRequest requestRemoved(int sequenceId) {
    return inFlight.remove(sequenceId);
  }

  /** No request of this connection is in flight any more. */
  void allRequestsRemoved() {
    inFlight.clear();
  }

  boolean hasRequestInFlight(int sequenceId) {
    return inFlight.containsKey(sequenceId);
  }

  int requestsInFlight() {
    return inFlight.size();
  }

  /** Visits the requests in flight with their sequence ids; the visitor must not remove any. */
  void forEachRequest(BiConsumer<Integer, PendingRequest> visitor) {
    inFlight.forEach(visitor);
  }

  /** The requests in flight at this moment, which may be removed while they are visited. */
  List<PendingRequest> requestSnapshot() {
    return List.copyOf(inFlight.values());
  }

  /** The event loop handles a message at this time. */
  void messageHandledAt(Duration now) {
    lastActiveNanos = now.toNanos();
  }

  /** The event loop handles the revoke itself. */
  void revokeHandled(int sequenceId) {
    revokedAt.remove(sequenceId);
  }

  /**
   * Closes the connection, unless the selector thread has just read something: either that thread
   * sees the eviction and rejects the message, or this one sees the message and closes nothing.
   *
   * @return whether it was closed
   */
  boolean evict(ClientCloseReason reason) {
    evicting = true;
    if (!isIdle()) {
      evicting = false;
      return false;
    }
    close(reason);
    return true;
  }

  /** Whether no request is in flight, queued for the event loop or partially received. */
  boolean isIdle() {
    return inFlight.isEmpty() && queuedMessages.get() == 0 && !receiver.hasPartialMessage();
  }

  /** Whether a request is in flight, queued or partial, or a reply is not written. */
  boolean isActive() {
    return isOpen() && (!isIdle() || hasUnsentReplies());
  }

  /** Whether the client has ever sent a complete message. */
  boolean hasReceivedMessage() {
    return receiver.hasReceivedMessage();
  }

  /** Whether the client has sent no message since it connected, longer than the timeout ago. */
  boolean isSilent(Duration now, Duration timeout) {
    return !receiver.hasReceivedMessage() && isQuiet(now, timeout);
  }

  /** Whether no message was handled and no reply sent on it for longer than this. */
  boolean isQuiet(Duration now, Duration minDuration) {
    return now.toNanos() - lastActiveNanos > minDuration.toNanos();
  }

  /** Whether a message is due for longer than the timeout; stalls of the process do not count. */
  boolean isReceiveOverdue(Duration now, Duration timeout, StallHistory stalls) {
    return receiver.isOverdue(now, timeout, stalls);
  }

  /** When it was opened, its last message was handled or its last reply was sent. */
  long lastActiveNanos() {
    return lastActiveNanos;
  }
}

package switchgap.protocol.thrift;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.Supplier;
import switchgap.net.FrameDecoder;
import switchgap.net.StallHistory;
import switchgap.net.TcpConnection;
import switchgap.router.PendingRequest;

/**
 * One client's connection. The selector thread decodes its frames and counts what it queues; the
 * requests in flight and the time of the last message belong to the event loop. Fields that both
 * read are volatile or concurrent.
 */
final class ClientConnection {
  /** Bytes of one message, its length not included. */
  private static final int MAX_FRAME_BYTES = 32 << 10;

  /** Requests without their response, by sequence id; event loop only. */
  final Map<Integer, PendingRequest> inFlight = new HashMap<>();

  private final TcpConnection connection;
  private final int maxUnsentBytes;
  private final FrameDecoder frames = new FrameDecoder(MAX_FRAME_BYTES);
  private final AtomicInteger queuedMessages = new AtomicInteger();

  /**
   * When the selector thread read a revoke that the event loop has not handled, by the sequence id
   * that it names: at most as many as messages are queued.
   */
  private final Map<Integer, Duration> revokedAt = new ConcurrentHashMap<>();

  private volatile boolean hasPartialMessage;

  /** Whether the event loop is about to evict it; what is read from now on is refused. */
  private volatile boolean evicting;

  /**
   * Time of the connect, or of the first byte of a message that has not come whole; null while
   * nothing is expected.
   */
  private volatile Duration receivingSince;

  private volatile boolean hasSentMessage;
  private final Supplier<Duration> clock;

  /** When it was opened, its last message was handled or its last reply was given to the socket. */
  private volatile long lastActiveNanos;

  private volatile Duration closedAt;

  ClientConnection(TcpConnection connection, Supplier<Duration> clock, int maxUnsentBytes) {
    this.connection = connection;
    this.maxUnsentBytes = maxUnsentBytes;
    this.clock = clock;
    receivingSince = clock.get();
    lastActiveNanos = receivingSince.toNanos();
  }

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

  /** Sends a reply; closes a connection whose client does not read its replies. Any thread. */
  void send(byte[] reply) {
    if (connection.unsentBytes() > maxUnsentBytes) {
      close(ClientCloseReason.REPLIES_UNREAD);
    } else {
      connection.send(reply);
      lastActiveNanos = clock.get().toNanos();
    }
  }

  /** Sends what may go out however much is unsent, as the connection is closed behind it. */
  void sendLast(byte[] reply) {
    connection.send(reply);
  }

  // ------------------------------------------------------------------ on the selector thread

  /** Hands on each whole frame; false, for good, at a length that is out of bounds. */
  boolean receive(ByteBuffer bytes, Consumer<byte[]> frameHandler, Duration now) {
    boolean isWithinBounds = frames.decode(bytes, frameHandler);
    hasPartialMessage = frames.hasPartialFrame();
    if (!hasPartialMessage) {
      receivingSince = null;
    } else if (receivingSince == null) {
      receivingSince = now;
    }
    return isWithinBounds;
  }

  /** A whole message came. */
  void messageReceived() {
    hasSentMessage = true;
    receivingSince = null;
  }

  /** The end of the connection was seen. */
  void closed() {
    closedAt = clock.get();
  }

  /** When the end of the connection was seen, or null. */
  Duration closedAt() {
    return closedAt;
  }

  /** Whether the event loop is about to evict it. */
  boolean isEvicting() {
    return evicting;
  }

  /** Messages that wait for the event loop. */
  int queuedMessages() {
    return queuedMessages.get();
  }

  /** Counts a message that is about to be queued for the event loop, and returns how many are. */
  int messageQueued() {
    return queuedMessages.incrementAndGet();
  }

  /** A revoke was read: from now on nothing goes out for that request. */
  void revokeReceived(int sequenceId, Duration now) {
    revokedAt.put(sequenceId, now);
  }

  // ------------------------------------------------------------------ on the event loop

  /**
   * Evicts the connection, unless the selector thread has read something just now: either it sees
   * the eviction and refuses the message, or this side sees the message and lets the connection be.
   *
   * @return whether it is closed
   */
  boolean evict() {
    evicting = true;
    if (!isIdle()) {
      evicting = false;
      return false;
    }
    close(ClientCloseReason.EVICTED);
    return true;
  }

  /** A queued message has reached the event loop. */
  void messageDequeued() {
    queuedMessages.decrementAndGet();
  }

  /** The event loop handles a message at this time. */
  void messageHandledAt(Duration now) {
    lastActiveNanos = now.toNanos();
  }

  /** The event loop handles the revoke itself. */
  void revokeHandled(int sequenceId) {
    revokedAt.remove(sequenceId);
  }

  /** Whether a revoke of the request has been read and not handled yet. */
  boolean isRevoked(int sequenceId) {
    return revokedAt.containsKey(sequenceId);
  }

  /** When a revoke of the request was read that has not been handled yet, or null. */
  Duration revokedAt(int sequenceId) {
    return revokedAt.get(sequenceId);
  }

  /** Whether no request is in flight, on its way to the event loop or half received. */
  boolean isIdle() {
    return inFlight.isEmpty() && queuedMessages.get() == 0 && !hasPartialMessage;
  }

  /**
   * Whether anything is under way: a request, a message in part or queued, a reply that is not
   * written.
   */
  boolean isActive() {
    return isOpen() && (!isIdle() || hasUnsentReplies());
  }

  /**
   * Whether the client has sent no message within the timeout, unlike one that has just connected.
   */
  boolean isSilent(Duration now, Duration timeout) {
    return !hasSentMessage && isQuiet(now, timeout);
  }

  /** Whether nothing was handled or sent on it for longer than a span. */
  boolean isQuiet(Duration now, Duration span) {
    return now.toNanos() - lastActiveNanos > span.toNanos();
  }

  /** Whether its client has not taken all replies. */
  boolean hasUnsentReplies() {
    return connection.unsentBytes() > 0;
  }

  /** Whether a message is due for longer than the timeout, pauses of the process left out. */
  boolean isReceiveOverdue(Duration now, Duration timeout, StallHistory pauses) {
    Duration since = receivingSince;
    return since != null && pauses.elapsedExcludingStalls(since, now).compareTo(timeout) > 0;
  }

  /** When it was opened, its last message was handled or its last reply was sent. */
  long lastActiveNanos() {
    return lastActiveNanos;
  }
}

package switchgap.protocol.thrift;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;
import switchgap.net.StallHistory;
import switchgap.net.TcpConnection;
import switchgap.router.PendingRequest;

/**
 * A client connection. The selector thread reads its frames and queues messages; the requests in
 * flight belong to the event loop. Fields that both threads use are volatile or concurrent.
 */
final class ClientConnection {
  private final TcpConnection connection;
  private final Supplier<Duration> clock;
  private final MessageReceiver receiver;
  private final ArrivalTimes arrivals = new ArrivalTimes();

  /** Requests in flight by sequence id. Event loop only. */
  private final Map<Integer, PendingRequest> inFlight = new HashMap<>();

  /** Heap of the queued messages and of the unsent replies. */
  private final SharedCapacity.Share heap;

  private final ReplySender replies;
  private final ClientMessageQueue messageQueue;
  private final ReadFlowControl flowControl;

  /** Bytes of the bodies of the requests in flight. Event loop only. */
  private int bodyBytesInFlight;

  /**
   * Times at which the selector thread read revokes that the event loop has not handled yet, by the
   * revoked sequence id. Bounded by the number of queued messages.
   */
  private final Map<Integer, Duration> revokedAt = new ConcurrentHashMap<>();

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
   * @param heap the connection's share of the heap for queued messages and unsent replies
   */
  ClientConnection(
      TcpConnection connection,
      Supplier<Duration> clock,
      int maxUnsentBytes,
      SharedCapacity.Share heap) {
    this.connection = connection;
    this.clock = clock;
    this.heap = heap;
    Duration openedAt = clock.get();
    receiver = new MessageReceiver(openedAt);
    replies = new ReplySender(connection, heap, maxUnsentBytes);
    messageQueue = new ClientMessageQueue(heap);
    flowControl = new ReadFlowControl(connection, heap, clock, receiver, arrivals);
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
    replies.send(reply);
    lastActiveNanos = clock.get().toNanos();
  }

  /** Records that a reply of this length has been written to the socket. */
  void replyWritten(int byteCount) {
    replies.written(byteCount);
    flowControl.resumeIfDrained();
  }

  /** Closes the connection after a message that could not be decoded, with a reply if possible. */
  void closeMalformed(MalformedMessageException cause) {
    if (cause.method() != null) {
      replies.sendBeforeClose(
          ThriftResponseEncoder.protocolError(
              cause.method(), cause.sequenceId(), cause.getMessage()));
    }
    close(ClientCloseReason.UNREADABLE_MESSAGE);
  }

  /** Whether reply bytes are still waiting to be written to the socket. */
  boolean hasUnsentReplies() {
    return replies.hasUnsent();
  }

  /** Time at which the close of the connection was detected, or null while it is open. */
  Duration closedAt() {
    return closedAt;
  }

  /** The messages that wait for the event loop. */
  ClientMessageQueue messageQueue() {
    return messageQueue;
  }

  /** Pauses and resumes reading from the connection. */
  ReadFlowControl flowControl() {
    return flowControl;
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

  /** Returns the earliest time at which the bytes of the current read may have arrived. */
  Duration earliestReceivedAt(Duration receivedAt, Duration receiveDelay, boolean isReadEmpty) {
    return arrivals.earliest(receivedAt, receiveDelay, isReadEmpty, receiver.hasReceivedMessage());
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

  /** Adds a reply to those that {@link #sendBatchedReplies} sends. */
  void batchReply(byte[] reply) {
    replies.addToBatch(reply);
  }

  /** Sends the batched replies. */
  void sendBatchedReplies() {
    if (replies.sendBatch()) {
      lastActiveNanos = clock.get().toNanos();
    }
  }

  /** Whether the event loop is evicting the connection. */
  boolean isEvicting() {
    return isEvicting;
  }

  /** Records the time at which the close of the connection was detected, and frees its heap. */
  void connectionClosed() {
    closedAt = clock.get();
    heap.release();
  }

  // ------------------------------------------------------------------ event loop only

  /** Adds a request of this connection to those in flight. */
  void requestAdded(int sequenceId, PendingRequest request) {
    inFlight.put(sequenceId, request);
    bodyBytesInFlight += request.body().length;
  }

  /** Removes and returns the request in flight with this sequence id, or null if none has it. */
  PendingRequest requestRemoved(int sequenceId) {
    PendingRequest request = inFlight.remove(sequenceId);
    bodyBytesInFlight -= request == null ? 0 : request.body().length;
    return request;
  }

  void allRequestsRemoved() {
    inFlight.clear();
    bodyBytesInFlight = 0;
  }

  boolean hasRequestInFlight(int sequenceId) {
    return inFlight.containsKey(sequenceId);
  }

  int requestsInFlight() {
    return inFlight.size();
  }

  /** Bytes of the bodies of the requests in flight. */
  int bodyBytesInFlight() {
    return bodyBytesInFlight;
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
    return inFlight.isEmpty() && messageQueue.size() == 0 && !receiver.hasPartialMessage();
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

  /**
   * Whether a message is due for longer than the timeout, excluding stalls of the process and
   * pauses of reading.
   */
  boolean isReceiveOverdue(Duration now, Duration timeout, StallHistory stalls) {
    return !flowControl.isPaused() && receiver.isOverdue(now, timeout, stalls);
  }

  /** Time of the connect, the last handled message or the last reply sent, whichever is latest. */
  long lastActiveNanos() {
    return lastActiveNanos;
  }
}

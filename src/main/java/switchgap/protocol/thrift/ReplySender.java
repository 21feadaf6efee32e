package switchgap.protocol.thrift;

import java.io.ByteArrayOutputStream;
import switchgap.net.TcpConnection;

/**
 * Sends the replies of one connection. What the client leaves unread counts in the connection's
 * share of the heap for all clients, and is limited.
 */
final class ReplySender {
  /** Upper bound for the heap that the transport's records of an unsent reply hold. */
  private static final int UNSENT_REPLY_OVERHEAD_BYTES = 320;

  private final TcpConnection connection;
  private final SharedCapacity.Share heap;
  private final int maxUnsentBytes;

  /** Replies to messages of the current read; null if there are none. Selector thread only. */
  private ByteArrayOutputStream batch;

  /**
   * Creates a sender.
   *
   * @param maxUnsentBytes maximum number of reply bytes that the client may leave unread
   */
  ReplySender(TcpConnection connection, SharedCapacity.Share heap, int maxUnsentBytes) {
    this.connection = connection;
    this.heap = heap;
    this.maxUnsentBytes = maxUnsentBytes;
  }

  /**
   * Sends a reply, or closes the connection if the client has left too many reply bytes unread.
   * Callable on any thread.
   */
  void send(byte[] reply) {
    if (connection.unsentBytes() > maxUnsentBytes) {
      connection.close(ClientCloseReason.REPLIES_UNREAD);
    } else {
      sendCounted(reply);
    }
  }

  /**
   * Sends a reply regardless of unsent bytes; the caller closes the connection right after it.
   * Callable on any thread.
   */
  void sendBeforeClose(byte[] reply) {
    sendCounted(reply);
  }

  private void sendCounted(byte[] reply) {
    heap.add(heapBytes(reply.length));
    if (!connection.send(reply)) {
      heap.subtract(heapBytes(reply.length));
    }
  }

  /** Records that a reply of this length was written to the socket. Callable on any thread. */
  void written(int byteCount) {
    heap.subtract(heapBytes(byteCount));
  }

  private static int heapBytes(int replyBytes) {
    return UNSENT_REPLY_OVERHEAD_BYTES + replyBytes;
  }

  /** Whether reply bytes are still waiting to be written to the socket. Callable on any thread. */
  boolean hasUnsent() {
    return connection.unsentBytes() > 0;
  }

  /** Adds a reply to those that {@link #sendBatch} sends. Selector thread only. */
  void addToBatch(byte[] reply) {
    if (batch == null) {
      batch = new ByteArrayOutputStream();
    }
    batch.writeBytes(reply);
  }

  /**
   * Sends the replies to the messages of one read together, as each write is a system call; returns
   * whether there were any. Selector thread only.
   */
  boolean sendBatch() {
    if (batch == null) {
      return false;
    }
    byte[] replies = batch.toByteArray();
    batch = null;
    send(replies);
    return true;
  }
}

package switchgap.protocol.thrift;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import switchgap.router.RouterCore;

/**
 * Decodes the frames of clients on the selector threads. Heartbeats, unknown methods and malformed
 * messages are answered there; submits and revokes are queued for the event loop, with limits on
 * their number and bytes.
 */
final class ClientMessageReader {
  /** Maximum number of messages of one connection that are queued for the event loop. */
  private static final int MAX_QUEUED_MESSAGES = 256;

  private final RequestHandler requestHandler;
  private final Consumer<Consumer<RouterCore>> eventLoop;
  private final int maxQueuedBytes;
  private final AtomicInteger queuedBytes = new AtomicInteger();
  private volatile boolean isHealthy;

  /**
   * Creates a reader that answers heartbeats as unhealthy until {@link #setHealthy} is called.
   *
   * @param requestHandler handles the queued messages
   * @param eventLoop posts an event to the router's event loop
   * @param maxQueuedBytes maximum bytes of all submits that are queued for the event loop
   */
  ClientMessageReader(
      RequestHandler requestHandler, Consumer<Consumer<RouterCore>> eventLoop, int maxQueuedBytes) {
    this.requestHandler = requestHandler;
    this.eventLoop = eventLoop;
    this.maxQueuedBytes = maxQueuedBytes;
  }

  /** Sets the health that replies to heartbeats report. Callable on any thread. */
  void setHealthy(boolean healthy) {
    isHealthy = healthy;
  }

  /**
   * Handles one complete frame.
   *
   * @param receivedAt earliest time at which its last byte may have arrived
   */
  void frameReceived(ClientConnection connection, byte[] frame, Duration receivedAt) {
    if (!connection.isOpen()) {
      return; // an earlier frame of the same read closed the connection
    }
    connection.messageReceived();
    try {
      ThriftMessage message = ThriftMessageDecoder.decode(frame);
      messageReceived(connection, message, frame.length, receivedAt);
    } catch (MalformedMessageException e) {
      if (e.method() != null) {
        connection.sendBeforeClose(
            ThriftResponseEncoder.protocolError(e.method(), e.sequenceId(), e.getMessage()));
      }
      connection.close(ClientCloseReason.UNREADABLE_MESSAGE);
    }
  }

  private void messageReceived(
      ClientConnection connection, ThriftMessage message, int messageBytes, Duration receivedAt) {
    if (!message.type().isRequest()) {
      connection.close(ClientCloseReason.REPLY_FROM_CLIENT);
      return;
    }
    String method = message.method();
    int sequenceId = message.sequenceId();
    switch (method) {
      case WireNames.HEARTBEAT ->
          connection.send(ThriftResponseEncoder.heartbeat(method, sequenceId, isHealthy));
      case WireNames.SUBMIT -> enqueueSubmit(connection, message, messageBytes, receivedAt);
      case WireNames.REVOKE -> enqueueRevoke(connection, message, receivedAt);
      default -> connection.send(ThriftResponseEncoder.unknownMethod(method, sequenceId));
    }
  }

  private void enqueueSubmit(
      ClientConnection connection, ThriftMessage message, int messageBytes, Duration receivedAt) {
    if (!countQueuedMessage(connection) || !reserveQueuedBytes(messageBytes)) {
      connection.messageDequeued();
      requestHandler.rejectUnqueued(connection, message.sequenceId());
      return;
    }
    eventLoop.accept(
        core -> {
          connection.messageDequeued();
          queuedBytes.addAndGet(-messageBytes);
          requestHandler.messageReceived(core, connection, message, receivedAt);
        });
  }

  /** Revokes are small, so the limit on the number of queued messages also bounds their bytes. */
  private void enqueueRevoke(
      ClientConnection connection, ThriftMessage message, Duration receivedAt) {
    if (!countQueuedMessage(connection)) {
      // A revoke has no reply that could reject it.
      connection.close(ClientCloseReason.QUEUE_OVERFLOW);
      return;
    }
    connection.revokeReceived(message.firstInteger(), receivedAt);
    eventLoop.accept(
        core -> {
          connection.messageDequeued();
          requestHandler.messageReceived(core, connection, message, receivedAt);
        });
  }

  /** Counts a message as queued; returns whether the connection is allowed to queue it. */
  private static boolean countQueuedMessage(ClientConnection connection) {
    return connection.messageQueued() <= MAX_QUEUED_MESSAGES && !connection.isEvicting();
  }

  /** Reserves queue space for a message; returns false and reserves nothing if it does not fit. */
  private boolean reserveQueuedBytes(int messageBytes) {
    if (queuedBytes.addAndGet(messageBytes) <= maxQueuedBytes) {
      return true;
    }
    // If the reservation were kept, each rejected message would lower the limit until a restart.
    queuedBytes.addAndGet(-messageBytes);
    return false;
  }
}

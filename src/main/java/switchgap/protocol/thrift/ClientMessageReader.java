package switchgap.protocol.thrift;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import switchgap.router.RouterCore;

/**
 * Decodes clients' frames on the selector threads. Answers heartbeats, unknown methods and
 * unreadable messages there; queues submits and revokes for the event loop, in bounded number and
 * bytes.
 */
final class ClientMessageReader {
  /** Messages of one connection that wait for the event loop. */
  private static final int MAX_QUEUED_MESSAGES = 256;

  private final RequestHandler requests;
  private final Consumer<Consumer<RouterCore>> eventLoop;
  private final int maxQueuedBytes;
  private final AtomicInteger queuedBytes = new AtomicInteger();
  private volatile boolean isHealthy;

  /**
   * A reader that answers heartbeats as unhealthy.
   *
   * @param requests handles the queued messages
   * @param eventLoop runs an event on the router's event loop
   * @param maxQueuedBytes bytes of all submits that wait for the event loop
   */
  ClientMessageReader(
      RequestHandler requests, Consumer<Consumer<RouterCore>> eventLoop, int maxQueuedBytes) {
    this.requests = requests;
    this.eventLoop = eventLoop;
    this.maxQueuedBytes = maxQueuedBytes;
  }

  /** What heartbeats are answered from now on. Any thread. */
  void setHealthy(boolean healthy) {
    isHealthy = healthy;
  }

  /**
   * Handles one complete frame.
   *
   * @param receivedAt when its last byte may have arrived at the earliest
   */
  void frameReceived(ClientConnection connection, byte[] frame, Duration receivedAt) {
    if (!connection.isOpen()) {
      return; // closed by an earlier frame of the same read
    }
    connection.messageReceived();
    try {
      ThriftMessage message = ThriftMessageDecoder.decode(frame);
      messageReceived(connection, message, frame.length, receivedAt);
    } catch (MalformedMessageException e) {
      if (e.method() != null) {
        connection.sendLast(
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
      requests.rejectUnqueued(connection, message.sequenceId());
      return;
    }
    eventLoop.accept(
        core -> {
          connection.messageDequeued();
          queuedBytes.addAndGet(-messageBytes);
          requests.messageReceived(core, connection, message, receivedAt);
        });
  }

  /** A revoke is small: the number of queued messages bounds its bytes, too. */
  private void enqueueRevoke(
      ClientConnection connection, ThriftMessage message, Duration receivedAt) {
    if (!countQueuedMessage(connection)) {
      connection.close(ClientCloseReason.QUEUE_OVERFLOW); // no reply could reject a revoke
      return;
    }
    connection.revokeReceived(message.firstInteger(), receivedAt);
    eventLoop.accept(
        core -> {
          connection.messageDequeued();
          requests.messageReceived(core, connection, message, receivedAt);
        });
  }

  /** Counts a message as queued; returns whether the connection may queue it. */
  private static boolean countQueuedMessage(ClientConnection connection) {
    return connection.messageQueued() <= MAX_QUEUED_MESSAGES && !connection.isEvicting();
  }

  /** Reserves a message's bytes in the queue; reserves nothing if they do not fit. */
  private boolean reserveQueuedBytes(int messageBytes) {
    if (queuedBytes.addAndGet(messageBytes) <= maxQueuedBytes) {
      return true;
    }
    queuedBytes.addAndGet(-messageBytes); // or each flood would lower the limit until a restart
    return false;
  }
}

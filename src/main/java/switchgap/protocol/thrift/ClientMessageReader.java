package switchgap.protocol.thrift;

import java.time.Duration;

/**
 * Reads the frames of clients on the selector threads. Heartbeats, unknown methods and malformed
 * messages are answered there; submits and revokes are queued for the event loop. Submits stay
 * encoded until then.
 */
final class ClientMessageReader {
  private final RequestHandler requestHandler;
  private final ClientMessageScheduler scheduler;
  private volatile boolean isHealthy;

  /**
   * Creates a reader that answers heartbeats as unhealthy until {@link #setHealthy} is called.
   *
   * @param requestHandler rejects submits that can't be queued
   * @param scheduler queues messages for the event loop
   */
  ClientMessageReader(RequestHandler requestHandler, ClientMessageScheduler scheduler) {
    this.requestHandler = requestHandler;
    this.scheduler = scheduler;
  }

  /** Sets the health that replies to heartbeats report. Callable on any thread. */
  void setHealthy(boolean healthy) {
    isHealthy = healthy;
  }

  /**
   * Handles one complete frame. The caller sends the connection's batched replies after the last
   * frame of a read.
   *
   * @param receivedAt earliest time at which its last byte may have arrived
   */
  void frameReceived(ClientConnection connection, byte[] frame, Duration receivedAt) {
    if (!connection.isOpen()) {
      return; // an earlier frame of the same read closed the connection
    }
    connection.messageReceived();
    try {
      ThriftMessageHeader header = ThriftMessageDecoder.decodeHeader(frame);
      messageReceived(connection, header, frame, receivedAt);
    } catch (MalformedMessageException e) {
      connection.sendBatchedReplies();
      connection.closeMalformed(e);
    }
  }

  private void messageReceived(
      ClientConnection connection, ThriftMessageHeader header, byte[] frame, Duration receivedAt)
      throws MalformedMessageException {
    if (!header.type().isRequest()) {
      connection.close(ClientCloseReason.REPLY_FROM_CLIENT);
      return;
    }
    String method = header.method();
    int sequenceId = header.sequenceId();
    if (method.equals(WireNames.SUBMIT)) {
      enqueueSubmit(connection, new QueuedMessage.Submit(frame, sequenceId, receivedAt));
      return;
    }
    ThriftMessage message = ThriftMessageDecoder.decode(frame);
    switch (method) {
      case WireNames.HEARTBEAT ->
          connection.batchReply(ThriftResponseEncoder.heartbeat(method, sequenceId, isHealthy));
      case WireNames.REVOKE -> enqueueRevoke(connection, message.firstInteger(), receivedAt);
      default -> connection.batchReply(ThriftResponseEncoder.unknownMethod(method, sequenceId));
    }
  }

  private void enqueueSubmit(ClientConnection connection, QueuedMessage.Submit submit) {
    connection.messageQueue().reserve();
    if (connection.isEvicting()) {
      connection.messageQueue().cancelReservation();
      requestHandler.rejectUnqueued(connection, submit.sequenceId());
      return;
    }
    scheduler.enqueue(connection, submit);
  }

  private void enqueueRevoke(
      ClientConnection connection, int revokedSequenceId, Duration receivedAt) {
    connection.revokeReceived(revokedSequenceId, receivedAt);
    connection.messageQueue().reserve();
    scheduler.enqueue(connection, new QueuedMessage.Revoke(revokedSequenceId, receivedAt));
  }
}

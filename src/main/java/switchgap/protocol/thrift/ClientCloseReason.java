package switchgap.protocol.thrift;

import switchgap.net.CloseReason;
import switchgap.router.EventReason;

/**
 * Why a client's connection ends, and whether the client caused it: only then may requests that
 * were read on it be left unanswered.
 */
enum ClientCloseReason implements CloseReason, EventReason {
  /** The client closed or reset it, or it broke. */
  PEER_CLOSED(CloseReason.Transport.PEER_CLOSED.description(), true),
  /** A reply could not be written, as the connection broke. */
  WRITE_FAILED(CloseReason.Transport.WRITE_FAILED.description(), true),
  /** The start of the next message is unknown. */
  FRAME_OUT_OF_BOUNDS("frame length out of bounds", true),
  /** A frame is no readable message. */
  UNREADABLE_MESSAGE("unreadable message", true),
  /** Only the router sends replies. */
  REPLY_FROM_CLIENT("reply from a client", true),
  /** Too many messages without a reply wait for the event loop. */
  QUEUE_OVERFLOW("too many queued messages", true),
  /** The reply of one request could be taken for the other's. */
  DUPLICATE_SEQUENCE_ID("duplicate sequence id", true),
  /** The first message, or the rest of a partial one, did not come in time. */
  RECEIVE_TIMEOUT("receive timeout", true),
  /** It was idle while there were more connections than the limit. */
  EVICTED("evicted for another connection", false),
  /** The router shuts down, and no request was in flight on it. */
  SHUTDOWN("router shuts down", false),
  /** Its client does not read its replies, and their bytes have reached the limit. */
  REPLIES_UNREAD("too many unread reply bytes", true),
  /** The client retries a request of this connection, which has ended, on a new one. */
  RETRIED_ON_NEW_CONNECTION("request retried on a new connection", true);

  private final String description;
  private final boolean clientFault;

  ClientCloseReason(String description, boolean clientFault) {
    this.description = description;
    this.clientFault = clientFault;
  }

  @Override
  public String description() {
    return description;
  }

  /** Whether the client caused it, so that requests on the connection may be left unanswered. */
  boolean isClientFault() {
    return clientFault;
  }

  /** The reason for which a client's connection was closed, by this package or the transport. */
  static ClientCloseReason of(CloseReason reason) {
    if (reason instanceof ClientCloseReason own) {
      return own;
    }
    return reason == CloseReason.Transport.WRITE_FAILED ? WRITE_FAILED : PEER_CLOSED;
  }
}

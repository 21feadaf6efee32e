package switchgap.protocol.thrift;

import switchgap.net.CloseReason;
import switchgap.router.EventReason;

/**
 * Reason for which a client connection is closed, and whether the client caused it. Only if it did
 * may requests that were read on the connection be left unanswered.
 */
enum ClientCloseReason implements CloseReason, EventReason {
  /** The client closed or reset the connection, or the connection broke. */
  PEER_CLOSED(CloseReason.Transport.PEER_CLOSED.description(), true),
  /** Writing a reply failed because the connection broke. */
  WRITE_FAILED(CloseReason.Transport.WRITE_FAILED.description(), true),
  /** A frame length is out of bounds, so the start of the next message is unknown. */
  FRAME_OUT_OF_BOUNDS("frame length out of bounds", true),
  /** A frame could not be decoded as a message. */
  UNREADABLE_MESSAGE("unreadable message", true),
  /** The client sent a reply; only the router may. */
  REPLY_FROM_CLIENT("reply from a client", true),
  /**
   * A request reuses the sequence id of one in flight, so their replies could not be told apart.
   */
  DUPLICATE_SEQUENCE_ID("duplicate sequence id", true),
  /** The first message, or the rest of a partial one, did not arrive in time. */
  RECEIVE_TIMEOUT("receive timeout", true),
  /** The connection was idle while the number of connections exceeded the limit. */
  EVICTED("evicted for another connection", false),
  /** The router is shutting down, and no request was in flight on the connection. */
  SHUTDOWN("router shuts down", false),
  /** The client does not read its replies, and the unsent bytes have reached the limit. */
  REPLIES_UNREAD("too many unread reply bytes", true),
  /** The client has closed this connection and retries one of its requests on a new one. */
  RETRIED_ON_NEW_CONNECTION("request retried on a new connection", true);

  private final String description;
  private final boolean isClientFault;

  ClientCloseReason(String description, boolean isClientFault) {
    this.description = description;
    this.isClientFault = isClientFault;
  }

  @Override
  public String description() {
    return description;
  }

  /**
   * Whether the client caused the close, so that requests on the connection may be left unanswered.
   */
  boolean isClientFault() {
    return isClientFault;
  }

  /** Maps a close reason of this package or of the transport to one for client connections. */
  static ClientCloseReason of(CloseReason reason) {
    if (reason instanceof ClientCloseReason clientReason) {
      return clientReason;
    }
    return reason == CloseReason.Transport.WRITE_FAILED ? WRITE_FAILED : PEER_CLOSED;
  }
}

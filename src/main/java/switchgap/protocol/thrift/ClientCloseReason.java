package switchgap.protocol.thrift;

import switchgap.net.CloseReason;
import switchgap.router.EventReason;

/**
 * Why a client's connection ends, and whether the client caused it: only then may requests be
 * unanswered that were read on it.
 */
enum ClientCloseReason implements CloseReason, EventReason {
  /** The client closed or reset it, or it broke. */
  PEER_CLOSED(CloseReason.Transport.PEER_CLOSED.description(), true),
  /** A reply could not be written, as the connection broke. */
  WRITE_FAILED(CloseReason.Transport.WRITE_FAILED.description(), true),
  /** Where the next message would begin is not known. */
  FRAME_OUT_OF_BOUNDS("a frame's length is out of bounds", true),
  /** What was read is no message. */
  UNREADABLE_MESSAGE("unreadable message", true),
  /** A client sends requests alone. */
  REPLY_FROM_CLIENT("a reply from a client", true),
  /** More messages that have no reply than the router keeps up with. */
  QUEUE_OVERFLOW("more messages than the router keeps up with", true),
  /** A reply could be taken for the other request's. */
  DUPLICATE_SEQUENCE_ID("two requests under one number", true),
  /** The rest of a message, or the first one, did not come. */
  RECEIVE_TIMEOUT("no whole message in time", true),
  /** Nothing was going on on it, and others need its place. */
  EVICTED("the place is needed", false),
  /** More replies are unsent than are kept for one client. */
  REPLIES_UNREAD("reads no answers", true),
  /** The client has sent its requests again on a new connection. */
  SENT_AGAIN("sent again on another one", true);

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

  /** Whether the client caused it, so that requests on the connection may be unanswered. */
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

package switchgap.protocol.thrift;

/**
 * Why a client's connection ends, and whether the reason is the client's own: only then may
 * requests be held on it that were read and have no answer.
 */
enum ClientCloseReason {
  /** The client closed or reset it, or it broke. */
  PEER_CLOSED("the other side closed", true),
  /** A reply could not be written, as the connection broke. */
  WRITE_FAILED("a write failed", true),
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

  private final String text;
  private final boolean clientsOwn;

  ClientCloseReason(String text, boolean clientsOwn) {
    this.text = text;
    this.clientsOwn = clientsOwn;
  }

  /** As it stands in the log. */
  String text() {
    return text;
  }

  /** Whether requests may be held on the connection. */
  boolean isClientsOwn() {
    return clientsOwn;
  }

  /** The reason with this text; what the transport alone knows of is the peer's. */
  static ClientCloseReason of(String text) {
    for (ClientCloseReason reason : values()) {
      if (reason.text.equals(text)) {
        return reason;
      }
    }
    return PEER_CLOSED;
  }
}

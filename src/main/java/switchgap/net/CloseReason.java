package switchgap.net;

/**
 * The reason why a connection ended. Each protocol has its own enum of reasons; the reasons of the
 * transport are in {@link Transport}.
 */
public interface CloseReason {
  /** The name of the enum constant, under which closed connections are counted. */
  String name();

  /** The description for log lines. */
  String description();

  /** Reasons of the transport layer. */
  enum Transport implements CloseReason {
    /** The peer closed or reset the connection, or the connection broke. */
    PEER_CLOSED("connection closed by the peer"),
    /** Bytes could not be written. */
    WRITE_FAILED("write failed"),
    /** The connection was opened after its connect timeout. */
    OPENED_TOO_LATE("opened after the connect timeout"),
    /** The peer announced a frame whose length is zero, negative, or greater than the limit. */
    FRAME_TOO_LONG("invalid frame length");

    private final String description;

    Transport(String description) {
      this.description = description;
    }

    @Override
    public String description() {
      return description;
    }
  }
}

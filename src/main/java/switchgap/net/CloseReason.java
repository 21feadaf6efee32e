package switchgap.net;

/**
 * Why a connection ended. Each protocol has an enum of its own reasons; those of the transport are
 * nested here.
 */
public interface CloseReason {
  /** The constant's name, by which closed connections are counted. */
  String name();

  /** What log lines say of it. */
  String description();

  /** Reasons of the transport itself. */
  enum Transport implements CloseReason {
    /** The peer closed or reset the connection, or it broke. */
    PEER_CLOSED("the other side closed"),
    /** Bytes could not be written. */
    WRITE_FAILED("a write failed"),
    /** It was opened after its connect timeout. */
    OPENED_TOO_LATE("opened too late"),
    /** The peer announced a frame that is longer than the bound. */
    FRAME_TOO_LONG("a frame is too long");

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

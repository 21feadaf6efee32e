package switchgap.net;

/** Why a client's HTTP connection ended under a pending exchange. */
public enum HttpCloseReason implements CloseReason {
  /** Either side closed the connection, or it broke. */
  CONNECTION_ENDED("connection ended"),
  /** The request could not be written. */
  WRITE_FAILED("write failed"),
  /** The received bytes are not HTTP. */
  MALFORMED_RESPONSE("malformed response"),
  /** The response's body exceeds its bound. */
  RESPONSE_TOO_LARGE("response larger than the limit");

  private final String description;

  HttpCloseReason(String description) {
    this.description = description;
  }

  @Override
  public String description() {
    return description;
  }
}

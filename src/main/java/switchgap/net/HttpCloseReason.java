package switchgap.net;

/** The reason why an HTTP client connection ended during a pending exchange. */
public enum HttpCloseReason implements CloseReason {
  /** Either side closed the connection, or the connection broke. */
  CONNECTION_ENDED("connection ended"),
  /** The request could not be written. */
  WRITE_FAILED("write failed"),
  /** The received bytes are not a valid HTTP response. */
  MALFORMED_RESPONSE("malformed response"),
  /** The response body exceeds the limit. */
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

package switchgap.protocol.inference;

/** Status codes that have a defined meaning in the inference protocol. */
final class HttpStatus {
  private static final int SUCCESS_FIRST = 200;
  private static final int SUCCESS_END = 300;
  private static final int NOT_FOUND = 404;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int SERVICE_UNAVAILABLE = 503;

  private HttpStatus() {}

  static boolean isSuccess(int status) {
    return status >= SUCCESS_FIRST && status < SUCCESS_END;
  }

  /** Whether the status means that the worker does not have the function. */
  static boolean isNotFound(int status) {
    return status == NOT_FOUND;
  }

  /** Whether the status means that the worker has no capacity. */
  static boolean isOverloaded(int status) {
    return status == SERVICE_UNAVAILABLE || status == TOO_MANY_REQUESTS;
  }
}

package switchgap.protocol.inference;

/** The status codes to which the protocol gives a meaning. */
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

  /** Whether the worker says that it does not know the function. */
  static boolean isNotFound(int status) {
    return status == NOT_FOUND;
  }

  /** Whether the worker says that it has no capacity. */
  static boolean isOverloaded(int status) {
    return status == SERVICE_UNAVAILABLE || status == TOO_MANY_REQUESTS;
  }
}

package switchgap.protocol.invoke;

/**
 * The resource addressed by the path of a request.
 *
 * @param name name of the function or id of the deferred request, empty for other resources
 */
record ResourcePath(Resource resource, String name) {
  /** Kinds of resources. */
  enum Resource {
    /** {@code /v1/functions/NAME/invoke}. */
    FUNCTION_INVOCATION,
    /** {@code /v1/calls/ID}. */
    DEFERRED_REQUEST,
    /** Any other path: a page for operators, or no resource. */
    OTHER
  }

  private static final String VERSION = "v1";
  private static final String FUNCTIONS = "functions";
  private static final String INVOKE = "invoke";
  private static final String DEFERRED_REQUESTS = "calls";
  private static final ResourcePath OTHER = new ResourcePath(Resource.OTHER, "");

  /** Parses an absolute path. It starts with a slash, so the first segment is empty. */
  static ResourcePath parse(String path) {
    String[] segments = path.split("/", -1);
    if (segments.length < 4 || !segments[1].equals(VERSION)) {
      return OTHER;
    }
    String collection = segments[2];
    String name = segments[3];
    if (segments.length == 5 && collection.equals(FUNCTIONS) && segments[4].equals(INVOKE)) {
      return new ResourcePath(Resource.FUNCTION_INVOCATION, name);
    }
    if (segments.length == 4 && collection.equals(DEFERRED_REQUESTS)) {
      return new ResourcePath(Resource.DEFERRED_REQUEST, name);
    }
    return OTHER;
  }

  /** Returns the path at which to poll for a deferred request. */
  static String ofDeferredRequest(String id) {
    return "/" + VERSION + "/" + DEFERRED_REQUESTS + "/" + id;
  }
}

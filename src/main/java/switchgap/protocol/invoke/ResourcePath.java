package switchgap.protocol.invoke;

/**
 * The resource that the path of a request addresses.
 *
 * @param name name of the function or id of the deferred request, empty for another resource
 */
record ResourcePath(Resource resource, String name) {
  /** The resources that requests of clients address. */
  enum Resource {
    /** {@code /v1/functions/NAME/invoke}. */
    FUNCTION_INVOCATION,
    /** {@code /v1/calls/ID}. */
    DEFERRED_REQUEST,
    /** Anything else: a resource for operators, or none. */
    OTHER
  }

  private static final String VERSION = "v1";
  private static final String FUNCTIONS = "functions";
  private static final String INVOKE = "invoke";
  private static final String DEFERRED_REQUESTS = "calls";
  private static final ResourcePath OTHER = new ResourcePath(Resource.OTHER, "");

  /** Parses an absolute path; its first segment is empty. */
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

  /** The path of a deferred request. */
  static String ofDeferredRequest(String id) {
    return "/" + VERSION + "/" + DEFERRED_REQUESTS + "/" + id;
  }
}

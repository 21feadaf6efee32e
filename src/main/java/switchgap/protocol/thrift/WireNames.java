package switchgap.protocol.thrift;

/**
 * Names in the Thrift protocol: methods of the service, and keys of the fields of submits and of
 * declared exceptions.
 */
final class WireNames {
  // Methods of the Thrift service.
  static final String SUBMIT = "submit";
  static final String REVOKE = "revoke";
  static final String HEARTBEAT = "heartbeat";

  // Fields of a submitted request.
  /** Name of the request class. */
  static final String SERVICE = "service";

  /** Id of the request. */
  static final String REF = "ref";

  /** Milliseconds until the deadline. */
  static final String ALLOW = "allow";

  /** Name of the tenant. */
  static final String PROJECT = "project";

  /** Id of the function. */
  static final String LOOKUP = "lookup";

  /** Expected execution time of the request in milliseconds. */
  static final String EFFORT = "effort";

  /** Further numbers, each as {@code name:value}, separated by semicolons. */
  static final String EXTRAS = "extras";

  // Names within the extras field.
  /** Memory of one replica of the function in megabytes. */
  static final String MEMORY_MB = "memory_mb";

  /** Number of requests that one replica executes concurrently. */
  static final String LANES = "lanes";

  /** Time to load a replica of the function, in milliseconds. */
  static final String LOAD_MS = "load_ms";

  // Fields of a declared exception.
  /** Milliseconds that the client should wait before a retry. */
  static final String COOLDOWN = "cooldown";

  /** Why a request is invalid. */
  static final String REASON = "reason";

  private WireNames() {}
}

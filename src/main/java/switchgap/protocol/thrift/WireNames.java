package switchgap.protocol.thrift;

/**
 * Names on the wire: methods of the service, keys of a request's fields and of a declared
 * exception.
 */
final class WireNames {
  // Methods of the service.
  static final String SUBMIT = "submit";
  static final String REVOKE = "revoke";
  static final String HEARTBEAT = "heartbeat";

  // Fields of a submitted request.
  /** The request class. */
  static final String SERVICE = "service";

  /** The request's id. */
  static final String REF = "ref";

  /** Milliseconds until the deadline. */
  static final String ALLOW = "allow";

  /** The tenant. */
  static final String PROJECT = "project";

  /** The function's id. */
  static final String LOOKUP = "lookup";

  /** Milliseconds that the request is expected to run. */
  static final String EFFORT = "effort";

  /** Further figures, {@code name:value} joined by semicolons. */
  static final String EXTRAS = "extras";

  // Figures among the extras.
  /** Memory of one replica of the function. */
  static final String MEMORY_MB = "memory_mb";

  /** Requests that one replica runs at a time. */
  static final String LANES = "lanes";

  /** Milliseconds that a load of the function takes. */
  static final String LOAD_MS = "load_ms";

  // Fields of a declared exception.
  /** Milliseconds after which to retry. */
  static final String COOLDOWN = "cooldown";

  /** Why a request is unusable. */
  static final String REASON = "reason";

  private WireNames() {}
}

package switchgap.protocol.resp;

/** Encodes the commands that a worker accepts. */
final class RespCommand {
  private static final String EXECUTE = "DO";
  private static final String CANCEL = "UNDO";
  private static final String LOAD = "PIN";
  private static final String UNLOAD = "UNPIN";
  private static final String REPORT_LOAD = "METER";
  private static final String PROFILE_FIELD = "profile=";
  private static final String FUNCTION_FIELD = "thing=";
  private static final String MAX_MILLIS_FIELD = "max=";
  private static final String REPLICAS_FIELD = "count=";
  private static final String FIELD_SEPARATOR = ",";

  private RespCommand() {}

  /**
   * Executes a request.
   *
   * @param id the request's id, which the reply bears
   * @param profile name of the request class
   * @param function name of the function
   * @param maxMillis milliseconds after which the worker may time out the execution
   * @param body the request's body
   */
  static byte[] execute(String id, String profile, String function, long maxMillis, byte[] body) {
    String fields =
        PROFILE_FIELD
            + profile
            + FIELD_SEPARATOR
            + FUNCTION_FIELD
            + function
            + FIELD_SEPARATOR
            + MAX_MILLIS_FIELD
            + maxMillis;
    return RespCommandEncoder.encodeWithBody(body, EXECUTE, id, fields);
  }

  /** Cancels the execution with this id. */
  static byte[] cancel(String id) {
    return RespCommandEncoder.encode(CANCEL, id);
  }

  /**
   * Loads so many replicas of a function, or with 0 asks how many are loaded; the reply bears the
   * tag.
   */
  static byte[] load(String tag, String function, int replicas) {
    return RespCommandEncoder.encode(
        LOAD, tag, FUNCTION_FIELD + function + FIELD_SEPARATOR + REPLICAS_FIELD + replicas);
  }

  /** Unloads idle replicas of a function; there is no reply. */
  static byte[] unload(String function) {
    return RespCommandEncoder.encode(UNLOAD, function);
  }

  /** Asks for the worker's load; the reply bears the tag. */
  static byte[] reportLoad(String tag) {
    return RespCommandEncoder.encode(REPORT_LOAD, tag);
  }
}

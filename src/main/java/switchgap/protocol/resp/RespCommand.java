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
   * Encodes a command that executes a request.
   *
   * @param id the request's id, which the reply repeats
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

  /** Encodes a command that cancels the execution with this id. */
  static byte[] cancel(String id) {
    return RespCommandEncoder.encode(CANCEL, id);
  }

  /**
   * Encodes a command that loads replicas of a function. With 0 replicas, it queries the number of
   * loaded replicas instead. The reply repeats the tag.
   */
  static byte[] load(String tag, String function, int replicas) {
    return RespCommandEncoder.encode(
        LOAD, tag, FUNCTION_FIELD + function + FIELD_SEPARATOR + REPLICAS_FIELD + replicas);
  }

  /**
   * Encodes a command that unloads idle replicas of a function. The worker does not reply to it.
   */
  static byte[] unload(String function) {
    return RespCommandEncoder.encode(UNLOAD, function);
  }

  /** Encodes a command that requests the worker's load report. The reply repeats the tag. */
  static byte[] reportLoad(String tag) {
    return RespCommandEncoder.encode(REPORT_LOAD, tag);
  }
}

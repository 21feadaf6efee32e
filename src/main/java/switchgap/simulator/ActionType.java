package switchgap.simulator;

/** Types of action records, with the code on the wire: the first byte of each record. */
enum ActionType {
  START_ATTEMPT(1),
  REJECT(2),
  FAIL(3),
  CANCEL_ATTEMPT(4),
  SCHEDULE_WAKE_UP(5),
  PROBE(6),
  /** The policy failed and decides nothing any more; with a text. */
  POLICY_FAULT(10),
  SUBSCRIBE_TO_ENDPOINTS(11),
  /** A load command, or with no replica a query. */
  LOAD(13),
  UNLOAD(14);

  private final byte code;

  ActionType(int code) {
    this.code = (byte) code;
  }

  /** The code on the wire. */
  byte code() {
    return code;
  }
}

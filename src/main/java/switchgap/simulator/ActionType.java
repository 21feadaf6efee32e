package switchgap.simulator;

/** Types of action records. The type's code is the first byte of a record on the wire. */
enum ActionType {
  START_ATTEMPT(1),
  REJECT(2),
  FAIL(3),
  CANCEL_ATTEMPT(4),
  SCHEDULE_WAKE_UP(5),
  PROBE(6),
  /** The policy failed and makes no further decisions; the record refers to a text in the tail. */
  POLICY_FAULT(10),
  SUBSCRIBE_TO_ENDPOINTS(11),
  /** A load command or, with a replica count of 0, a query for the number of replicas. */
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

package switchgap.simulator;

/** Codes of action records: the first byte of each. */
final class ActionCode {
  static final int START_ATTEMPT = 1;
  static final int REJECT = 2;
  static final int FAIL = 3;
  static final int CANCEL_ATTEMPT = 4;
  static final int SCHEDULE_WAKE_UP = 5;
  static final int PROBE = 6;

  /** The policy failed and decides nothing any more; with a text. */
  static final int POLICY_FAULT = 10;

  static final int SUBSCRIBE_TO_ENDPOINTS = 11;

  /** A load command, or with no replica a query. */
  static final int LOAD = 13;

  static final int UNLOAD = 14;

  private ActionCode() {}
}

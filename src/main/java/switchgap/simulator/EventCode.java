package switchgap.simulator;

/** Codes of event records: the first byte of each. */
final class EventCode {
  static final int START_ROUTER = 1;
  static final int PEER_MESSAGE = 2;
  static final int CLIENT_LEFT = 3;
  static final int PROBE_ENDED = 4;
  static final int STOP_ROUTER = 5;
  static final int ENDPOINT_LIST = 6;
  static final int RESPONSE_STARTED = 7;
  static final int ATTEMPT_ENDED = 8;

  /** Content of an endpoint list, which later events refer to by its id; of no router. */
  static final int DEFINE_LIST = 9;

  static final int WAKE_UP = 10;
  static final int LOAD_COMMAND_ENDED = 11;
  static final int REQUEST_ARRIVED = 12;

  private static final int MIN = START_ROUTER;
  private static final int MAX = REQUEST_ARRIVED;

  private EventCode() {}

  static boolean isKnown(int code) {
    return code >= MIN && code <= MAX;
  }
}

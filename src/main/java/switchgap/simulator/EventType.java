package switchgap.simulator;

/** Types of event records. The type's code is the first byte of a record on the wire. */
enum EventType {
  START_ROUTER(1),
  /** A message of another router; ignored, because routers share no state. */
  PEER_MESSAGE(2),
  CLIENT_DISCONNECTED(3),
  PROBE_ENDED(4),
  STOP_ROUTER(5),
  ENDPOINT_LIST(6),
  RESPONSE_STARTED(7),
  ATTEMPT_ENDED(8),
  /** The content of an endpoint list, to which later events refer by its id; sent to no router. */
  DEFINE_LIST(9),
  WAKE_UP(10),
  LOAD_COMMAND_ENDED(11),
  REQUEST_ARRIVED(12);

  /** All types, ordered by code; the codes have no gaps. */
  private static final EventType[] BY_CODE = values();

  private final int code;

  EventType(int code) {
    this.code = code;
  }

  /** Returns the type with this code, or null if there is none. */
  static EventType ofCode(int code) {
    int index = code - START_ROUTER.code;
    return index >= 0 && index < BY_CODE.length ? BY_CODE[index] : null;
  }
}

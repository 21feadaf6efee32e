package switchgap.simulator;

/** Types of event records, with the code on the wire: the first byte of each record. */
enum EventType {
  START_ROUTER(1),
  /** A message of another router; ignored, as routers share nothing. */
  PEER_MESSAGE(2),
  CLIENT_DISCONNECTED(3),
  PROBE_ENDED(4),
  STOP_ROUTER(5),
  ENDPOINT_LIST(6),
  RESPONSE_STARTED(7),
  ATTEMPT_ENDED(8),
  /** Content of an endpoint list, which later events refer to by its id; for no router. */
  DEFINE_LIST(9),
  WAKE_UP(10),
  LOAD_COMMAND_ENDED(11),
  REQUEST_ARRIVED(12);

  /** By code, without gaps from the first. */
  private static final EventType[] BY_CODE = values();

  private final int code;

  EventType(int code) {
    this.code = code;
  }

  /** Returns the type with this code on the wire, or null if there is none. */
  static EventType ofCode(int code) {
    int index = code - START_ROUTER.code;
    return index >= 0 && index < BY_CODE.length ? BY_CODE[index] : null;
  }
}

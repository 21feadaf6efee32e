package switchgap.simulator;

/** Layout of event records: offsets of fields in bytes from the start of a record, and values. */
final class EventLayout {
  static final int RECORD_BYTES = 56;

  static final int CODE = 0;

  /** Id of the router that receives the event; in all types but {@link EventType#DEFINE_LIST}. */
  static final int ROUTER_ID = 1;

  static final int LIST_DEFINITION_ID = 1;
  static final int LIST_DEFINITION_CONTENT = 5;

  static final int START_SEED = 3;
  static final int START_SETTINGS = 11;

  /** Id of the request, in all events about a request or one of its attempts. */
  static final int REQUEST_ID = 3;

  /** Id of the worker, in events about a load probe or a load command. */
  static final int WORKER_ID = 3;

  static final int PROBE_OUTCOME = 9;
  static final int PROBE_REPORT = 14;

  static final int LIST_ID = 3;
  static final int LIST_KIND = 11;
  static final int LIST_KIND_DELTA = 0;
  static final int LIST_KIND_FAILED = 1;

  static final int RESPONSE_ATTEMPT = 21;

  static final int ATTEMPT_NUMBER = 11;
  static final int ATTEMPT_WORKER_ID = 13;
  static final int ATTEMPT_OUTCOME = 19;
  static final int ATTEMPT_DURATION = 20;
  static final int ATTEMPT_REQUEST_CLOSED = 24;

  /**
   * Concurrency at the worker, in the bits from {@link #CONCURRENCY_SHIFT} upwards; the lower bits
   * are not used.
   */
  static final int ATTEMPT_CONCURRENCY = 25;

  static final int CONCURRENCY_SHIFT = 3;
  static final int ATTEMPT_REPORT = 26;

  static final int WAKE_UP_TOKEN = 3;

  static final int LOAD_DURATION = 9;
  static final int LOAD_REPLICAS = 13;
  static final int LOAD_FUNCTION_ID = 14;
  static final int LOAD_OUTCOME = 22;

  static final int ARRIVAL_CLASS = 11;
  static final int ARRIVAL_TENANT = 12;
  static final int ARRIVAL_FUNCTION_ID = 16;
  static final int ARRIVAL_DEADLINE = 24;
  static final int ARRIVAL_DURATION_HINT = 32;
  static final int ARRIVAL_MEMORY_MB = 36;
  static final int ARRIVAL_SLOTS = 40;
  static final int ARRIVAL_FLAGS = 48;
  static final int FLAG_DURATION_HINT = 1;

  private EventLayout() {}
}

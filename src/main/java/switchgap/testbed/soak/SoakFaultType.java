package switchgap.testbed.soak;

/**
 * Types of faults of a soak run. The names are values of command options and are printed. The
 * faults that a seed draws depend on the order of the constants.
 */
public enum SoakFaultType {
  /** A router receives SIGTERM; after its exit a new process starts. */
  ROUTER_TERM,
  /** Up to four routers receive SIGKILL one after the other; new processes start. */
  ROUTER_KILL,
  /** A router receives SIGSTOP, and SIGCONT at the end of the fault. */
  ROUTER_PAUSE,
  /** Routers get a new event stream address and SIGHUP; the old address closes later. */
  FEED_MOVED,
  /** The event stream sends nothing on connections that stay open. */
  FEED_SILENT,
  /** The event stream breaks off in the middle of an event. */
  FEED_CUT,
  /** The event stream sends the complete endpoint list again. */
  FEED_WHOLE_LIST,
  /** A worker drains and is removed; a new one starts. */
  WORKER_REPLACED,
  /** A worker never replies. */
  WORKER_HANGS,
  /** A worker rejects all requests. */
  WORKER_REJECTS,
  /** A worker resets some connections instead of replying. */
  WORKER_RESETS,
  /** Some replies of a worker are malformed. */
  WORKER_SPOILS_ANSWERS,
  /** A worker sends some replies twice. */
  WORKER_ANSWERS_TWICE,
  /** A worker closes all its connections. */
  WORKER_CLOSES,
  /** A worker closes its connections and serves new ones only after a delay. */
  WORKER_ACCEPTS_LATE,
  /** Clients cancel requests by revoke messages. */
  CLIENT_REVOKES,
  /** Clients close the connection shortly after sending requests. */
  CLIENT_CLOSES,
  /** Clients pause in the middle of a message, and some never send the rest. */
  CLIENT_HALF_MESSAGE,
  /** Additional clients keep many idle connections open. */
  CLIENT_STAYS,
  /** A client sends hundreds of requests at once on one connection. */
  CLIENT_FLOOD,
  /** All {@code accept} calls of one router fail for a while. */
  ACCEPT_FAILS,
  /** Some {@code connect} calls of one router fail for a while. */
  CONNECT_FAILS,
  /** Some {@code socket} calls of one router fail for a while. */
  SOCKET_FAILS,
  /** Some reads of one router are interrupted by a signal. */
  READ_INTERRUPTED,
  /** Some writes of one router are interrupted by a signal. */
  WRITE_INTERRUPTED,
  /** Some reads of one router transfer only one byte. */
  READ_SHORT,
  /** Some writes of one router transfer only one byte. */
  WRITE_SHORT,
  /** The wall clock of one router steps by a second or an hour, forward or back. */
  WALL_CLOCK_STEP,

  // The types below were added later and are drawn separately, so that a seed still draws the same
  // faults of the types above.

  /** SIGTERM and further signals, while clients send on open connections until SIGKILL. */
  ROUTER_TERM_UNDER_LOAD,
  /** The event stream is unavailable for seconds while workers drain, restart and move. */
  FEED_OUTAGE,
  /** The event stream is unavailable for seconds. */
  FEED_UNREACHABLE,
  /** A worker drains, stops, and starts again, cold and under the same name. */
  WORKER_RESTARTED;

  /** Whether the type was added later and is therefore drawn separately from the initial types. */
  boolean wasAddedLater() {
    return compareTo(WALL_CLOCK_STEP) > 0;
  }
}

package switchgap.testbed.soak;

/**
 * Types of faults that a seed may draw. Their names are options of the command and are printed, and
 * a seed's draw depends on their order.
 */
public enum SoakFaultType {
  /** SIGTERM, and a new process once the old one has ended. */
  ROUTER_TERM,
  /** SIGKILL to several routers at once, and new processes. */
  ROUTER_KILL,
  /** SIGSTOP, and SIGCONT after a while. */
  ROUTER_PAUSE,
  /** A new configuration with another address of the event stream, and SIGHUP; the old closes. */
  FEED_MOVED,
  /** The event stream sends nothing on connections that stay open. */
  FEED_SILENT,
  /** The event stream breaks off in the middle of an event. */
  FEED_CUT,
  /** The event stream sends the complete endpoint list once more. */
  FEED_WHOLE_LIST,
  /** A worker is drained and removed, a new one starts. */
  WORKER_REPLACED,
  /** A worker never replies. */
  WORKER_HANGS,
  /** A worker rejects all requests. */
  WORKER_REJECTS,
  /** A worker resets some connections in place of a reply. */
  WORKER_RESETS,
  /** Some replies of a worker are malformed. */
  WORKER_SPOILS_ANSWERS,
  /** A worker sends some replies twice. */
  WORKER_ANSWERS_TWICE,
  /** A worker closes all its connections. */
  WORKER_CLOSES,
  /** A worker serves new connections after a delay. */
  WORKER_ACCEPTS_LATE,
  /** Clients cancel requests by the protocol. */
  CLIENT_REVOKES,
  /** Clients close the connection right after a request. */
  CLIENT_CLOSES,
  /** Clients pause in the middle of a message, and some never send the rest. */
  CLIENT_HALF_MESSAGE,
  /** Clients connect and send nothing. */
  CLIENT_STAYS,
  /** Hundreds of requests at once on one connection. */
  CLIENT_FLOOD,
  /** Every {@code accept} of one router fails for a while. */
  ACCEPT_FAILS,
  /** Some {@code connect} calls of one router fail for a while. */
  CONNECT_FAILS,
  /** Some {@code socket} calls of one router fail for a while. */
  SOCKET_FAILS,
  /** Some reads of one router are interrupted by a signal. */
  READ_INTERRUPTED,
  /** Some writes of one router are interrupted by a signal. */
  WRITE_INTERRUPTED,
  /** Some reads of one router transfer one byte. */
  READ_SHORT,
  /** Some writes of one router transfer one byte. */
  WRITE_SHORT,
  /** The wall clock of one router steps by a second or an hour, forward or back. */
  WALL_CLOCK_STEP,

  // Drawn apart from the others, so that what a seed drew of those stays as it was.

  /** SIGTERM and further signals; clients send on open connections until the earliest SIGKILL. */
  ROUTER_TERM_UNDER_LOAD,
  /** The event stream is out of reach for seconds, while workers drain, restart and move. */
  FEED_OUTAGE,
  /** The event stream is out of reach for seconds. */
  FEED_UNREACHABLE,
  /** A worker drains, ends, and starts again, cold, under its name. */
  WORKER_RESTARTED;

  /** Whether it is drawn apart from those of the first version. */
  boolean isDrawnApart() {
    return compareTo(WALL_CLOCK_STEP) > 0;
  }
}

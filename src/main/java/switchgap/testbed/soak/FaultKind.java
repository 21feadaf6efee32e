package switchgap.testbed.soak;

/** What a seed may draw. */
public enum FaultKind {
  /** SIGTERM, and a new process once the old one has ended. */
  ROUTER_TERM,
  /** SIGKILL to several routers at once, and new processes. */
  ROUTER_KILL,
  /** SIGSTOP, and SIGCONT after a while. */
  ROUTER_PAUSE,
  /**
   * A new configuration with another address of the event stream, and SIGHUP; the old address
   * closes.
   */
  FEED_MOVED,
  /** The event stream says nothing on connections that stay open. */
  FEED_SILENT,
  /** The event stream breaks off in the middle of an event. */
  FEED_CUT,
  /** The event stream tells the whole list once more. */
  FEED_WHOLE_LIST,
  /** A worker drains and goes, a new one comes. */
  WORKER_REPLACED,
  WORKER_HANGS,
  WORKER_REJECTS,
  WORKER_RESETS,
  WORKER_SPOILS_ANSWERS,
  WORKER_ANSWERS_TWICE,
  /** A worker closes all its connections. */
  WORKER_CLOSES,
  /** Connections to a worker are taken up late. */
  WORKER_ACCEPTS_LATE,
  /** Clients withdraw requests. */
  CLIENT_REVOKES,
  /** Clients close behind a request. */
  CLIENT_CLOSES,
  /** Clients pause in the middle of a message, and some never send the rest. */
  CLIENT_HALF_MESSAGE,
  /** Clients connect and say nothing. */
  CLIENT_STAYS,
  /** Hundreds of requests at once on one connection. */
  CLIENT_FLOOD,
  /** System calls of one router fail for a while, or move less than they were asked to. */
  ACCEPT_FAILS,
  CONNECT_FAILS,
  SOCKET_FAILS,
  READ_INTERRUPTED,
  WRITE_INTERRUPTED,
  READ_SHORT,
  WRITE_SHORT,
  /** The routers' wall clocks step by a second or an hour, forward or back. */
  WALL_CLOCK_STEP
}

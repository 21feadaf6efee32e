package switchgap.testbed.soak;

/** What an injected fault put out of order. */
enum OutageCause {
  /** The process was suspended, from SIGSTOP to SIGCONT. */
  ROUTER_PAUSED,
  /** The process was dead, from SIGKILL until its successor was ready. */
  ROUTER_KILLED,
  /** The process could accept no connection. */
  ACCEPT_FAILING,
  /** The event stream delivered nothing, or delivered it late. */
  EVENT_STREAM
}

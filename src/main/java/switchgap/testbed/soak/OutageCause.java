package switchgap.testbed.soak;

/** What an injected fault put out of order. */
enum OutageCause {
  /** The process was suspended, from SIGSTOP to SIGCONT. */
  ROUTER_PAUSED,
  /** The process was dead, from SIGKILL until its successor was ready. */
  ROUTER_KILLED,
  /** The process could accept no connection. */
  ACCEPT_FAILING,
  /** The event stream was silent, or had moved: what it had counts as notified after 4 s. */
  EVENT_STREAM,
  /** The event stream had broken off or was unusable: what it had counts as notified after 2 s. */
  EVENT_STREAM_BROKEN
}

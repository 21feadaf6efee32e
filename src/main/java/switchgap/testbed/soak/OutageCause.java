package switchgap.testbed.soak;

/** What an injected fault disabled during an outage. */
enum OutageCause {
  /** The router process was suspended, from SIGSTOP to SIGCONT. */
  ROUTER_PAUSED,
  /** The router was not running, from SIGKILL until its new process was ready. */
  ROUTER_KILLED,
  /** The router could accept no connections. */
  ACCEPT_FAILING,
  /** The event stream was silent or moved; routers are treated as notified after 4 s. */
  EVENT_STREAM,
  /** The event stream broke off or was unusable; routers are treated as notified after 2 s. */
  EVENT_STREAM_BROKEN
}

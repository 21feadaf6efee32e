package switchgap.policy.api;

/** What the endpoint list says of a worker. */
public enum WorkerState {
  /** It takes requests. */
  READY,
  /** It finishes what it has and takes nothing new. */
  DRAINING,
  /** It is no longer there. */
  GONE
}

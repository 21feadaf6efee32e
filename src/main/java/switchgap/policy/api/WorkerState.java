package switchgap.policy.api;

/** The state of a worker in the endpoint list. */
public enum WorkerState {
  /** It accepts requests. */
  READY,
  /** It finishes its requests and accepts no new ones. */
  DRAINING,
  /** It has left the fleet. */
  GONE
}

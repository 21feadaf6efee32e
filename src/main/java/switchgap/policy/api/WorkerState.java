package switchgap.policy.api;

/** The state of a worker according to the endpoint list. */
public enum WorkerState {
  /** The worker accepts requests. */
  READY,
  /** The worker finishes the requests that it has and accepts no new ones. */
  DRAINING,
  /** The worker has left the fleet. */
  GONE
}

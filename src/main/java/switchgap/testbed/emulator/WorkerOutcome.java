package switchgap.testbed.emulator;

/** The outcome of an execution or of a load command at an emulated worker. */
public enum WorkerOutcome {
  /** The request was executed, or the requested replicas are loaded. */
  SUCCEEDED,
  /** The request was not executed, since the function has no replica. */
  NOT_LOADED,
  /** The request or load was not accepted: a queue or the memory is full. */
  NO_CAPACITY,
  /** The load command ended before the requested replicas were loaded. */
  FAILED
}

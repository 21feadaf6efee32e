package switchgap.testbed.soak;

/** Checks one invariant for each attempt that a worker received. */
interface AttemptCheck {
  /** Checks one attempt of a request and records violations. */
  void check(ReceivedAttempt attempt, ObservedRequest request);

  /** Names the attempt in descriptions of violations. */
  static String describe(ReceivedAttempt attempt, ObservedRequest request) {
    return "attempt of request "
        + request.id()
        + " from router "
        + request.router()
        + " to worker "
        + attempt.worker();
  }
}

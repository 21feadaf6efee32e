package switchgap.testbed.soak;

/** Checks one invariant for each attempt that a worker received. */
interface AttemptCheck {
  /** Checks one attempt and records what it violates; {@code request} is the attempt's. */
  void check(ReceivedAttempt attempt, ObservedRequest request);

  /** The attempt, as messages name it. */
  static String describe(ReceivedAttempt attempt, ObservedRequest request) {
    return "request "
        + request.id()
        + " of router "
        + request.router()
        + " at worker "
        + attempt.worker();
  }
}

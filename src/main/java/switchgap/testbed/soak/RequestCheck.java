package switchgap.testbed.soak;

/** Checks one invariant for each request that a client sent. */
interface RequestCheck {
  /** Checks one request and records what it violates. */
  void check(ObservedRequest request);
}

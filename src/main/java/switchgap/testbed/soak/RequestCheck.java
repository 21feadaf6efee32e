package switchgap.testbed.soak;

/** Checks one invariant for each request that a client sent. */
interface RequestCheck {
  /** Checks one request and records violations. */
  void check(ObservedRequest request);
}

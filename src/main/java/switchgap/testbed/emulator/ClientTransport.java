package switchgap.testbed.emulator;

/** How a client's attempt reaches a router: over sockets, or in virtual time. */
public interface ClientTransport {
  /**
   * One attempt of a client request.
   *
   * @param attemptId identifier of this attempt
   * @param requestId identifier of the request that it belongs to
   * @param function function to invoke
   * @param tenant name of the tenant
   * @param router index of the router
   * @param deadline time at which the client cancels it, microseconds of the scheduler's clock
   * @param idempotencyKey idempotency key, null for none
   */
  record ClientAttempt(
      String attemptId,
      String requestId,
      FunctionModel function,
      String tenant,
      int router,
      long deadline,
      String idempotencyKey) {}

  /** Notified once of how an attempt ended. */
  interface AttemptListener {
    /** Called on the scheduler's thread. */
    void attemptEnded(AttemptEnd end);
  }

  /** Sends an attempt; the listener is notified exactly once. */
  void send(ClientAttempt attempt, AttemptListener listener);
}

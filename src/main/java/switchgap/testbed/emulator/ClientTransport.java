package switchgap.testbed.emulator;

/** Sends the attempts of clients to routers, over sockets or in virtual time. */
public interface ClientTransport {
  /**
   * One attempt of a client request.
   *
   * @param attemptId identifier of this attempt
   * @param requestId identifier of the request that the attempt belongs to
   * @param function function to invoke
   * @param tenant name of the tenant
   * @param router index of the router
   * @param deadline time at which the client times out, in microseconds of the scheduler's clock
   * @param idempotencyKey idempotency key, or null
   */
  record ClientAttempt(
      String attemptId,
      String requestId,
      FunctionModel function,
      String tenant,
      int router,
      long deadline,
      String idempotencyKey) {}

  /** Receives the end of an attempt. */
  interface AttemptListener {
    /** Called once for each attempt, on the scheduler's thread. */
    void attemptEnded(AttemptEnd end);
  }

  /** Sends an attempt. The listener is called exactly once. */
  void send(ClientAttempt attempt, AttemptListener listener);
}

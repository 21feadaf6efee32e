package switchgap.testbed.emulator;

/** How a client's attempt reaches a router: over sockets, or in virtual time. */
public interface ClientTransport {
  /**
   * One attempt of a client request.
   *
   * @param call identifier of this attempt
   * @param request identifier of the request that it belongs to
   * @param model function asked for
   * @param customer name of the tenant
   * @param router index of the router
   * @param limit deadline, microseconds of the scheduler's clock
   * @param key idempotency key, null for none
   */
  record ClientAttempt(
      String call,
      String request,
      FunctionModel model,
      String customer,
      int router,
      long limit,
      String key) {}

  /** Notified once of how an attempt ended. */
  interface ResultHandler {
    /**
     * Called on the scheduler's thread.
     *
     * @param end a word of {@link ClientOutcome}, or what the router sent in its place
     * @param status HTTP status, 0 without a response
     * @param comeBack retry-after time in milliseconds, negative for none
     */
    void ended(String end, int status, long comeBack);
  }

  /** Sends an attempt; the handler is called exactly once. */
  void send(ClientAttempt attempt, ResultHandler handler);
}

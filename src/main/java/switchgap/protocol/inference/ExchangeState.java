package switchgap.protocol.inference;

/** The states of an {@link InferenceExchange}. */
enum ExchangeState {
  /** The exchange has no connection, and no byte of it has been sent. */
  WAITING,
  /** The exchange has a connection, and bytes of it may have been sent. */
  IN_FLIGHT,
  /** The exchange was completed or abandoned. */
  ENDED;

  /**
   * Whether the transition is allowed. An exchange returns from in flight to waiting only if its
   * connection accepted no byte.
   */
  boolean canTransitionTo(ExchangeState next) {
    return switch (this) {
      case WAITING -> next == IN_FLIGHT || next == ENDED;
      case IN_FLIGHT -> next == WAITING || next == ENDED;
      case ENDED -> false;
    };
  }
}

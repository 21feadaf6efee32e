package switchgap.protocol.inference;

/** The states of an {@link InferenceExchange}. */
enum ExchangeState {
  /** It has no connection, and no byte of it has been sent. */
  WAITING,
  /** It has a connection, and bytes of it may have been sent. */
  IN_FLIGHT,
  /** It was completed or abandoned. */
  ENDED;

  /** An exchange in flight waits again only where its connection took no byte. */
  boolean mayBecome(ExchangeState next) {
    return switch (this) {
      case WAITING -> next == IN_FLIGHT || next == ENDED;
      case IN_FLIGHT -> next == WAITING || next == ENDED;
      case ENDED -> false;
    };
  }
}

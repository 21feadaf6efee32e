package switchgap.endpoints;

/** The states of a client that follows an endpoint list, and the transitions between them. */
enum SubscriptionState {
  /** No connection is open or being opened; the next attempt follows after a backoff. */
  DISCONNECTED,
  /** A connection is being opened, or is open and has not delivered anything yet. */
  CONNECTING,
  /** The connection has delivered data. */
  STREAMING,
  /** Closed permanently; no transition leads out of this state. */
  CLOSED;

  /** Returns the next state when an attempt to connect starts. */
  SubscriptionState onConnect() {
    return this == CLOSED ? CLOSED : CONNECTING;
  }

  /**
   * Returns the next state when a connection delivers data. If the connection was given up before,
   * the state remains unchanged.
   */
  SubscriptionState onDelivery() {
    return this == CONNECTING ? STREAMING : this;
  }

  /** Returns the next state when the connection is lost or given up, or can't be opened. */
  SubscriptionState onDisconnect() {
    return this == CLOSED ? CLOSED : DISCONNECTED;
  }

  /** Whether silence of the service may mean that the connection is half-open. */
  boolean awaitsData() {
    return this == CONNECTING || this == STREAMING;
  }
}

package switchgap.endpoints;

/** The states of a client that follows an endpoint list, and all transitions between them. */
enum SubscriptionState {
  /** No connection is up or being opened; one will be tried again after a delay. */
  DISCONNECTED,
  /** A connection is being opened, or is up and has not delivered yet. */
  CONNECTING,
  /** The connection has delivered. */
  STREAMING,
  /** Closed for good. */
  CLOSED;

  /** A connection is tried. */
  SubscriptionState onConnect() {
    return this == CLOSED ? CLOSED : CONNECTING;
  }

  /** Something was delivered; it does not bring back what was given up meanwhile. */
  SubscriptionState onDelivery() {
    return this == CONNECTING ? STREAMING : this;
  }

  /** The connection was lost or given up, or could not be opened. */
  SubscriptionState onDisconnect() {
    return this == CLOSED ? CLOSED : DISCONNECTED;
  }

  /** Whether silence of the service means that the connection is dead. */
  boolean awaitsData() {
    return this == CONNECTING || this == STREAMING;
  }
}

package switchgap.endpoints;

/** The states of a client that follows an endpoint list, and all transitions between them. */
enum SubscriptionState {
  /** No connection is open or being opened; the next attempt follows after a backoff. */
  DISCONNECTED,
  /** A connection is being opened, or is open and has not delivered anything yet. */
  CONNECTING,
  /** The connection has delivered. */
  STREAMING,
  /** Closed for good; no transition leads out of it. */
  CLOSED;

  /** An attempt to connect begins. */
  SubscriptionState onConnect() {
    return this == CLOSED ? CLOSED : CONNECTING;
  }

  /** A connection delivered something; one that was given up before stays disconnected. */
  SubscriptionState onDelivery() {
    return this == CONNECTING ? STREAMING : this;
  }

  /** The connection was lost or given up, or could not be opened. */
  SubscriptionState onDisconnect() {
    return this == CLOSED ? CLOSED : DISCONNECTED;
  }

  /** Whether silence of the service may mean that the connection is half-open. */
  boolean awaitsData() {
    return this == CONNECTING || this == STREAMING;
  }
}

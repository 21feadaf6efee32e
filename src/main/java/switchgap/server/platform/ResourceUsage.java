package switchgap.server.platform;

/**
 * What a router holds at one moment.
 *
 * @param pendingRequests requests that have no response yet
 * @param clientConnections connections of clients that the event loop tracks
 * @param workerConnections connections to workers, up or being opened
 * @param activeClientConnections connections of clients with a request in flight, a message partial
 *     or queued, or a response unwritten
 */
record ResourceUsage(
    int pendingRequests,
    int clientConnections,
    int workerConnections,
    int activeClientConnections) {
  /** The event loop did not respond: it has to be taken for active. */
  static final ResourceUsage UNKNOWN = new ResourceUsage(0, 0, 0, 1);
}

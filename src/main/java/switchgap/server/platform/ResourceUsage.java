package switchgap.server.platform;

/**
 * What a router holds at a time.
 *
 * @param pendingRequests requests that have no response yet
 * @param clientConnections connections of clients, as the loop knows them
 * @param workerConnections connections to workers, up or being opened
 * @param activeClientConnections connections of clients with a request, a message or a response
 *     under way
 */
record ResourceUsage(
    int pendingRequests,
    int clientConnections,
    int workerConnections,
    int activeClientConnections) {
  /** Where the loop did not say: something may be under way. */
  static final ResourceUsage UNKNOWN = new ResourceUsage(0, 0, 0, 1);
}

package switchgap.server.platform;

/**
 * A router's resource usage at one point in time.
 *
 * @param pendingRequests number of requests that have no response yet
 * @param clientConnections number of client connections that the event loop tracks
 * @param workerConnections number of connections to workers, open or being opened
 * @param activeClientConnections number of client connections with a request in flight, a partial
 *     or queued message, or an unsent reply
 */
record ResourceUsage(
    int pendingRequests,
    int clientConnections,
    int workerConnections,
    int activeClientConnections) {
  /**
   * Usage if the event loop did not respond; counts one active connection, as the router may be
   * busy.
   */
  static final ResourceUsage UNKNOWN = new ResourceUsage(0, 0, 0, 1);
}

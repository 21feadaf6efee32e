package switchgap.policy.api;

/**
 * The events that a policy decides on, one call for each, from one thread. Indices are small
 * numbers that the caller assigns and may reuse once {@link PolicyActions} has released them; times
 * are durations since the router's start. Missing values are null, NaN or, for counts, negative.
 */
public interface PolicyEvents {
  /**
   * An endpoint list begins: a complete one, or changes to the last one. Its entries follow, then
   * its end.
   */
  void endpointListStarted(boolean complete);

  /** One entry of the endpoint list. */
  void endpointListed(EndpointEntry entry);

  /** The endpoint list ends. */
  void endpointListEnded();

  /** A poll for the endpoint list failed; the last list stays in force. */
  void endpointListFailed();

  /** A request was accepted. */
  void requestArrived(RequestArrival arrival);

  /** The first bytes of an attempt's response went to the client; the attempt's end follows. */
  default void responseStarted(int request, int attempt) {}

  /** An attempt ended. */
  void attemptEnded(AttemptResult result);

  /** The client disconnected: the request needs no response any more. */
  void clientDisconnected(int request);

  /** A scheduled wake-up is due. */
  void wakeUp(long token);

  /** A load probe ended. */
  void probeEnded(ProbeResult result);

  /** A load command or a replica query ended. */
  void loadCommandEnded(LoadCommandResult result);
}

package switchgap.policy.api;

/**
 * What a policy is told, one call an event, from one thread. Indices are small numbers that the
 * caller assigns and may hand out again once {@link PolicyActions} has released them; times are
 * spans since the router's start. Values that did not come are null, NaN or, for counts, below
 * zero.
 */
public interface PolicyEvents {
  /**
   * An endpoint list begins; a complete one replaces what was known. Its entries follow, then its
   * end.
   */
  void endpointListStarted(boolean complete);

  /** One entry of the endpoint list under way. */
  void endpointListed(EndpointEntry entry);

  /** The endpoint list under way has come whole. */
  void endpointListEnded();

  /** A poll for the endpoint list failed; the last one stays in force. */
  void endpointListFailed();

  /** A request was taken. */
  void requestArrived(RequestArrival arrival);

  /** The client has received the first bytes of an attempt's response; its end will come. */
  default void responseStarted(int request, int attempt) {}

  /** An attempt ended. */
  void attemptEnded(AttemptResult result);

  /** The client left; no response is owed any more. */
  void clientLeft(int request);

  /** A wake-up that was scheduled is due. */
  void wakeUp(long token);

  /** A probe ended. */
  void probeEnded(ProbeResult result);

  /** A load command or a replica query ended. */
  void loadCommandEnded(LoadCommandResult result);
}

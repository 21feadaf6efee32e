package switchgap.policy.api;

import java.time.Duration;

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

  /**
   * The endpoint list is confirmed to be complete until a time. From then on changes of it count as
   * notified although they may not have been received, until it is confirmed again. Without this
   * event the list counts as confirmed for ever.
   */
  default void endpointListConfirmedUntil(Duration time) {}

  /**
   * A connection to a worker was opened after the worker had refused one, or had ended all that
   * were open: its process may be a new one.
   */
  default void workerReconnected(int worker) {}

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

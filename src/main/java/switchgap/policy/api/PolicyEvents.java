package switchgap.policy.api;

import java.time.Duration;

/**
 * The input events of a policy, one method per event; a single thread calls them. Indices are small
 * numbers that the caller assigns and may reuse after {@link PolicyActions} has released them.
 * Times are durations since the router's start. Missing values are null, NaN or, for counts,
 * negative.
 */
public interface PolicyEvents {
  /**
   * An endpoint list begins. Its entries follow, then its end.
   *
   * @param complete whether the list names all workers; otherwise it contains only changes
   */
  void endpointListStarted(boolean complete);

  /** One entry of the endpoint list. */
  void endpointListed(EndpointEntry entry);

  /** The endpoint list ends. */
  void endpointListEnded();

  /** A poll for the endpoint list failed; the last list remains valid. */
  void endpointListFailed();

  /**
   * The endpoint list is confirmed to be up to date until a time. After that time, until it is
   * confirmed again, changes may take effect that this router has not received. Without this event
   * the list is considered confirmed at all times.
   */
  default void endpointListConfirmedUntil(Duration time) {}

  /**
   * A connection to a worker was opened after the worker had refused one or had closed all open
   * ones. The worker's process may be a new one.
   */
  default void workerReconnected(int worker) {}

  /**
   * Timers of an earlier tick were handled later than they were due, by this delay at most. Pauses
   * of the whole process are not reported. Without this event timers are considered punctual.
   */
  default void timersDelayed(Duration delay) {}

  /**
   * A request for a function without an index arrived while the caller's limit of indices is
   * reached. It is not accepted unless the policy releases the index of a function now. Without
   * this event the number of functions is unlimited.
   */
  default void functionLimitReached() {}

  /** A request was accepted; the policy has to cause exactly one final response to it. */
  void requestArrived(RequestArrival arrival);

  /**
   * The first bytes of an attempt's response were sent to the client; the attempt's end follows.
   */
  default void responseStarted(int request, int attempt) {}

  /** An attempt ended. */
  void attemptEnded(AttemptResult result);

  /** The client disconnected, so the request no longer needs a response. */
  void clientDisconnected(int request);

  /** A scheduled wake-up is due. */
  void wakeUp(long token);

  /** A load probe ended. */
  void probeEnded(ProbeResult result);

  /** A load command or a replica query ended. */
  void loadCommandEnded(LoadCommandResult result);
}

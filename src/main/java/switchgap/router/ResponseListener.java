package switchgap.router;

import java.time.Duration;

/**
 * Notified of the end of a request, unless its client cancelled it or the core did not accept it.
 * Exactly one of {@link #responded} and {@link #deadlineMissed} is called, once, on the event loop
 * thread.
 */
public interface ResponseListener {
  /** The request ended with its final response. */
  void responded(PendingRequest request, Response response);

  /**
   * The deadline passed before this response could be sent. The protocol determines whether it may
   * still be sent.
   */
  void deadlineMissed(PendingRequest request, Response lateResponse);

  /**
   * Whether the client has disconnected, possibly before the core was notified. If true, no further
   * attempt is sent. May be called from any thread.
   */
  default boolean isDisconnected() {
    return false;
  }

  /**
   * The time at which the client's disconnect was detected, since the router's start; null if the
   * client is connected or the time is not recorded yet.
   */
  default Duration disconnectedAt() {
    return null;
  }
}

package switchgap.router;

import java.time.Duration;

/** Notified once, on the event loop, of how an accepted request ended. */
public interface ResponseListener {
  /** The request has its final response. */
  void responded(PendingRequest request, Response response);

  /**
   * The deadline passed before this response could be sent; whether it may still be sent depends on
   * the protocol.
   */
  void deadlineMissed(PendingRequest request, Response late);

  /**
   * Whether the client is known to have disconnected, possibly before the core was notified: no
   * attempt is sent for it any more. Any thread.
   */
  default boolean isDisconnected() {
    return false;
  }

  /**
   * When the client was seen to have disconnected, since the router's start; null where it was not,
   * or only just was.
   */
  default Duration disconnectedAt() {
    return null;
  }
}

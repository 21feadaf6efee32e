package switchgap.router;

import java.time.Duration;

/** Is told once, on the event loop, how an accepted request ended. */
public interface ResponseListener {
  /** The one final response. */
  void responded(PendingRequest request, Response response);

  /**
   * The deadline passed before this response could be passed on; whether anything may still be sent
   * is the protocol's to say.
   */
  void deadlineMissed(PendingRequest request, Response late);

  /**
   * Whether the client is known to have gone, though that has yet to be taken in: nothing goes out
   * for it any more.
   */
  default boolean isDisconnected() {
    return false;
  }

  /**
   * When the client was seen to have gone, since the router's start; null where it was not, or just
   * now.
   */
  default Duration disconnectedAt() {
    return null;
  }
}

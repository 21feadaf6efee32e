package switchgap.endpoints;

import java.time.Duration;

/**
 * Receives the endpoint list events of an event stream, and whether the list is known to be up to
 * date. Called under the lock of the {@link EventStreamClient}.
 */
public interface EventStreamListener {
  /** Receives an event with an endpoint list. Each event is received once and in order. */
  void eventReceived(EndpointListEvent event);

  /**
   * All events that the stream has sent so far have been received. Unless it is confirmed again,
   * the list may be outdated after {@code validity}.
   */
  void listConfirmed(Duration validity);

  /** From now on, the stream may contain events that are not received. */
  void listUnconfirmed();
}

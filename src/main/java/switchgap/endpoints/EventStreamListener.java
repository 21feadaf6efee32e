package switchgap.endpoints;

import java.time.Duration;

/** Receives what an event stream tells of the endpoint list, and how long that is known to hold. */
public interface EventStreamListener {
  /** An event with an endpoint list; each is received once and in order. */
  void eventReceived(EndpointListEvent event);

  /**
   * All events of the stream so far have been received; unless it is confirmed again, the list may
   * be outdated after {@code validity}.
   */
  void listConfirmed(Duration validity);

  /** From now on the stream may have events that cannot be received. */
  void listUnconfirmed();
}

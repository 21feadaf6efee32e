package switchgap.endpoints;

import switchgap.net.CloseCause;
import switchgap.net.CloseReason;

/** The reason why a client gives up a connection to an endpoint list service or an event stream. */
enum SubscriptionEndReason implements CloseReason {
  /** The connection could not be opened, or not within its timeout. */
  CONNECT_FAILED("connect failed"),
  /** The connection was closed before the request could be sent. */
  CLOSED_BEFORE_REQUEST("closed before the request was sent"),
  /** The service ended its response, which should continue indefinitely. */
  RESPONSE_ENDED("response ended"),
  /** An event or a line exceeds the maximum size. */
  EVENT_TOO_LONG("event too long"),
  /** An event can't be parsed. */
  INVALID_EVENT("invalid event"),
  /** The sequence number of an event does not follow that of the last event. */
  SEQUENCE_GAP("gap in the sequence of events");

  private final String description;

  SubscriptionEndReason(String description) {
    this.description = description;
  }

  /** Returns a cause with this reason and a detail for log lines. */
  CloseCause with(String detail) {
    return new CloseCause(this, detail);
  }

  @Override
  public String description() {
    return description;
  }
}

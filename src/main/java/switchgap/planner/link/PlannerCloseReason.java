package switchgap.planner.link;

import switchgap.net.CloseReason;

/** The reasons for which a router or its planner closes the connection between them. */
enum PlannerCloseReason implements CloseReason {
  /** The router received no message from the planner in time. */
  PLANNER_SILENT("no message from the planner within 1 s"),
  /** A client that connected to the router sent no handshake in time. */
  HANDSHAKE_TIMEOUT("no handshake within 1 s"),
  /** The router rejected the planner's handshake or a later message. */
  REJECTED("rejected"),
  /** A message could not be decoded. */
  UNREADABLE_MESSAGE("unreadable"),
  /**
   * The planner received a message that a router does not send, or a backlog before the handshake.
   */
  UNEXPECTED_MESSAGE("unexpected message type for a planner"),
  /** The router is being stopped. */
  ROUTER_STOPPED("the router is stopping"),
  /** The planner is being stopped. */
  PLANNER_STOPPED("the planner is stopping");

  private final String description;

  PlannerCloseReason(String description) {
    this.description = description;
  }

  @Override
  public String description() {
    return description;
  }
}

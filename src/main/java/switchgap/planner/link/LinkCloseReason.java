package switchgap.planner.link;

import switchgap.net.CloseReason;

/** Why an edge or its planner closes the connection between them. */
enum LinkCloseReason implements CloseReason {
  /** The planner sent nothing for too long. */
  PLANNER_SILENT("the planner is silent"),
  /** A client of the edge sent no handshake in time. */
  HANDSHAKE_TIMEOUT("no handshake within a second"),
  /** The edge rejected the planner, or a message of it. */
  REJECTED("rejected"),
  /** A message could not be decoded. */
  UNREADABLE_MESSAGE("unreadable"),
  /** A message that an edge does not send. */
  UNEXPECTED_MESSAGE("no message for a planner"),
  /** The edge stops. */
  ROUTER_STOPPED("the edge stops"),
  /** The planner stops. */
  PLANNER_STOPPED("the planner stops");

  private final String description;

  LinkCloseReason(String description) {
    this.description = description;
  }

  @Override
  public String description() {
    return description;
  }
}

package switchgap.planner;

/** A message between a router and its planner. */
public sealed interface PlannerMessage
    permits LoadBacklog,
        LoadPlan,
        PlannerMessage.Hello,
        PlannerMessage.Rejected,
        PlannerMessage.Heartbeat {
  /**
   * The handshake: the first message of each side.
   *
   * @param version protocol version
   * @param side sender of the message: "edge" for the router, or "planner"
   * @param router index of the router
   * @param epoch epoch of the connection if the router sends the message; 0 if the planner does
   */
  record Hello(int version, String side, int router, long epoch) implements PlannerMessage {}

  /**
   * Sent by the router before it closes a connection that it rejects.
   *
   * @param why the reason, for the planner's log
   */
  record Rejected(String why) implements PlannerMessage {}

  /**
   * Sent by the planner at regular intervals while it is connected.
   *
   * @param number number of heartbeats that were sent before this one
   */
  record Heartbeat(long number) implements PlannerMessage {}
}

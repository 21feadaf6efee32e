package switchgap.planner;

/** A message between an edge and its planner. */
public sealed interface PlannerMessage
    permits LoadBacklog,
        LoadPlan,
        PlannerMessage.Hello,
        PlannerMessage.Rejected,
        PlannerMessage.Heartbeat {
  /**
   * The first message of each side.
   *
   * @param version of the protocol
   * @param side "edge" or "planner"
   * @param router index of the router that the edge belongs to
   * @param epoch of the connection, from the edge; 0 from the planner
   */
  record Hello(int version, String side, int router, long epoch) implements PlannerMessage {}

  /**
   * The edge rejects the connection, and closes it.
   *
   * @param why the reason, for the planner's log
   */
  record Rejected(String why) implements PlannerMessage {}

  /**
   * Sent by the planner at intervals.
   *
   * @param number counts up
   */
  record Heartbeat(long number) implements PlannerMessage {}
}

package switchgap.planner.link;

import switchgap.planner.LoadBacklog;
import switchgap.planner.LoadPlan;
import switchgap.planner.PlannerMessage;

/** The types of messages between router and planner, with their names on the wire. */
enum PlannerMessageType {
  /** The handshake of either side. */
  HELLO("hello", PlannerMessage.Hello.class),
  /** The router rejects a connection. */
  REJECTED("refused", PlannerMessage.Rejected.class),
  /** Sent at regular intervals to show that the planner is alive. */
  HEARTBEAT("beat", PlannerMessage.Heartbeat.class),
  /** The pending loads of the router. */
  BACKLOG("told", LoadBacklog.class),
  /** The planner's response to a backlog. */
  PLAN("plan", LoadPlan.class);

  private final String wireName;
  private final Class<? extends PlannerMessage> messageClass;

  PlannerMessageType(String wireName, Class<? extends PlannerMessage> messageClass) {
    this.wireName = wireName;
    this.messageClass = messageClass;
  }

  String wireName() {
    return wireName;
  }

  Class<? extends PlannerMessage> messageClass() {
    return messageClass;
  }

  /** The type with this name on the wire, or null if there is none. */
  static PlannerMessageType named(String wireName) {
    for (PlannerMessageType type : values()) {
      if (type.wireName.equals(wireName)) {
        return type;
      }
    }
    return null;
  }

  /**
   * The type of a message.
   *
   * @throws IllegalArgumentException if the message's class has no type
   */
  static PlannerMessageType of(PlannerMessage message) {
    for (PlannerMessageType type : values()) {
      if (type.messageClass == message.getClass()) {
        return type;
      }
    }
    throw new IllegalArgumentException("no message type for " + message.getClass().getName());
  }
}

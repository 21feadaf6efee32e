package switchgap.planner.link;

import switchgap.planner.LoadBacklog;
import switchgap.planner.LoadPlan;

/** The types of messages between edge and planner, with their names on the wire. */
enum PlannerMessageType {
  HELLO("hello", PlannerMessageCodec.Hello.class),
  REFUSED("refused", PlannerMessageCodec.Refused.class),
  HEARTBEAT("beat", PlannerMessageCodec.Heartbeat.class),
  BACKLOG("told", LoadBacklog.class),
  PLAN("plan", LoadPlan.class);

  private final String wireName;
  private final Class<? extends Record> messageClass;

  PlannerMessageType(String wireName, Class<? extends Record> messageClass) {
    this.wireName = wireName;
    this.messageClass = messageClass;
  }

  String wireName() {
    return wireName;
  }

  Class<? extends Record> messageClass() {
    return messageClass;
  }

  /** The type with this name on the wire, or null. */
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
   * @throws IllegalArgumentException where it is none
   */
  static PlannerMessageType of(Object message) {
    for (PlannerMessageType type : values()) {
      if (type.messageClass == message.getClass()) {
        return type;
      }
    }
    throw new IllegalArgumentException("no message: " + message.getClass().getName());
  }
}

package switchgap.admission;

/** Why a service level changes. The texts are shown to operators and kept in traces. */
enum ChangeCondition {
  /** Service is reduced: the pressure is above its threshold. */
  PRESSURE_HIGH("pressure past the enter mark"),
  /** The level already rejects all that it may, and the pressure is still above its threshold. */
  LEVEL_EXHAUSTED("the rung gives all it has and pressure stays"),
  /** The level rejects nothing any more, and the pressure is low. */
  PRESSURE_LOW("pressure under the leave mark"),
  /** An operator pins a level. */
  PINNED("pinned"),
  /** The time of an operator's pin is over. */
  PIN_EXPIRED("the pin has expired");

  private final String text;

  ChangeCondition(String text) {
    this.text = text;
  }

  String text() {
    return text;
  }
}

package switchgap.admission;

/**
 * The condition for a change of service level. The texts are shown to operators and written to
 * traces.
 */
enum ChangeCondition {
  /** The pressure is above its threshold, so service is reduced. */
  PRESSURE_HIGH("pressure past the enter mark"),
  /**
   * The level rejects all requests that it may reject, and the pressure is still above its
   * threshold.
   */
  LEVEL_EXHAUSTED("the rung gives all it has and pressure stays"),
  /** The level no longer rejects any request, and the pressure is low. */
  PRESSURE_LOW("pressure under the leave mark"),
  /** An operator pinned a level. */
  PINNED("pinned"),
  /** The duration of an operator's pin is over. */
  PIN_EXPIRED("the pin has expired");

  private final String text;

  ChangeCondition(String text) {
    this.text = text;
  }

  String text() {
    return text;
  }
}

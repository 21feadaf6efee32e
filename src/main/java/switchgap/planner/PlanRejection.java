package switchgap.planner;

/**
 * Why a plan, or a part of it, was rejected.
 *
 * @param reason the kind of fault
 * @param detail what log lines say of this fault
 */
public record PlanRejection(Reason reason, String detail) {
  /** Kinds of faults. */
  public enum Reason {
    /** The plan is for another epoch, or no planner is connected. */
    WRONG_EPOCH,
    /** The plan names a load that was never requested. */
    UNKNOWN_LOAD
  }

  static PlanRejection wrongEpoch(long planEpoch, long currentEpoch) {
    return new PlanRejection(
        Reason.WRONG_EPOCH, "a plan for epoch " + planEpoch + ", this is " + currentEpoch);
  }

  static PlanRejection unknownLoad(long id) {
    return new PlanRejection(Reason.UNKNOWN_LOAD, "a load " + id + " that was never asked for");
  }

  /** The text for log lines. */
  @Override
  public String toString() {
    return detail;
  }
}

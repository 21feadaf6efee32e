package switchgap.planner;

/**
 * Why a plan, or one id in it, was rejected.
 *
 * @param reason the kind of error
 * @param detail description of this error for log lines
 */
public record PlanRejection(Reason reason, String detail) {
  /** Kinds of errors in plans. */
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
    return new PlanRejection(Reason.UNKNOWN_LOAD, "load " + id + " was never requested");
  }

  /** Returns the description for log lines. */
  @Override
  public String toString() {
    return detail;
  }
}

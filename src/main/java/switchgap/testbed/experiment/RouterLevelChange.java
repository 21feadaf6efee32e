package switchgap.testbed.experiment;

import switchgap.admission.ServiceLevelChange;

/** A change of service level at a router, by the router's index. */
record RouterLevelChange(int router, ServiceLevelChange change) {
  /** Whether it concerns all tenants. */
  boolean isCommon() {
    return change.appliesToAll();
  }
}

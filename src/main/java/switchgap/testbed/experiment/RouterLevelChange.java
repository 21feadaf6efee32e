package switchgap.testbed.experiment;

import switchgap.admission.ServiceLevelChange;

/** A change of a service level at the router with the given index. */
record RouterLevelChange(int routerIndex, ServiceLevelChange change) {
  /** Whether the changed level applies to all tenants. */
  boolean isCommon() {
    return change.appliesToAll();
  }
}

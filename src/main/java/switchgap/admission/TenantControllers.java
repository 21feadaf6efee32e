package switchgap.admission;

import java.time.Duration;
import java.util.Arrays;
import java.util.SplittableRandom;

/**
 * The degradation controllers of single tenants: each sheds what its tenant sends beyond its quota.
 */
final class TenantControllers {
  /** Notified of each change of a tenant's level, at its time. */
  interface TransitionListener {
    void levelChanged(Duration time, int tenant, LevelTransition transition);
  }

  private final TenantLoads loads;
  private final DegradationController[] controllers;
  private final SheddingRotation[] rotations;

  /** Draws one generator for each controller, then one for each rotation. */
  TenantControllers(
      AdmissionSettings settings,
      Duration minStay,
      Duration rotationPeriod,
      SplittableRandom random) {
    this.loads = new TenantLoads(settings);
    this.controllers = new DegradationController[settings.tenantCount()];
    Arrays.setAll(
        controllers,
        tenant ->
            new DegradationController(
                minStay, random.split(), ServiceLevel.FULL, ServiceLevel.SHARE));
    this.rotations = new SheddingRotation[settings.tenantCount()];
    Arrays.setAll(rotations, tenant -> new SheddingRotation(rotationPeriod, random.split()));
  }

  /** The level of a tenant: FULL or SHARE. */
  ServiceLevel level(int tenant) {
    return controllers[tenant].level();
  }

  /** Fraction shed of a tenant's load beyond its quota, 0 to 1. */
  double shedFraction(int tenant) {
    return controllers[tenant].shedFraction();
  }

  /** A request of a priority weight was offered, admitted or not. */
  void offered(int tenant, double weight) {
    loads.offered(tenant, weight);
  }

  /** Whether a request of a tenant at level SHARE is shed; see {@link SheddingRotation#sheds}. */
  boolean sheds(int tenant, long key, double weight, double positionInSlot) {
    double fraction = controllers[tenant].shedFraction() * loads.excessFraction(tenant);
    return rotations[tenant].sheds(tenant, key, weight, fraction, positionInSlot);
  }

  /** Determines anew which tenants exceed their quotas. */
  void updateLoads() {
    loads.update();
  }

  /**
   * Applies a control signal for the given seconds to the tenants over their quota; the others are
   * restored.
   *
   * @param retained what the rotations retain of the loads
   * @return the fraction of the total load that is beyond tenants' quotas; 0 where the controllers
   *     of all such tenants shed all that they may already
   */
  double update(
      Duration now,
      double seconds,
      double retained,
      ControlSignal signal,
      ServiceLevel lowestLevel,
      TransitionListener listener) {
    double excess = 0;
    boolean canShedMore = false;
    double total = loads.totalWeight();
    ControlSignal restore = ShedRateControl.restoreTenant(signal);
    for (int i = 0; i < controllers.length; i++) {
      boolean over = loads.excessFraction(i) > 0;
      if (controllers[i].level() == ServiceLevel.SHARE) {
        rotations[i].advance(seconds, retained);
      }
      LevelTransition change =
          controllers[i].update(now, seconds, over ? signal : restore, lowestLevel);
      if (change != null) {
        listener.levelChanged(now, i, change);
      }
      excess += loads.excessWeight(i);
      canShedMore |= over && controllers[i].shedFraction() < 1;
    }
    return canShedMore ? excess / total : 0;
  }

  /** Lets the tenants' loads decay to a fraction. */
  void decay(double retained) {
    loads.decay(retained);
  }
}

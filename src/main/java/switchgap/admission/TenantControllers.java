package switchgap.admission;

import java.time.Duration;
import java.util.Arrays;
import java.util.SplittableRandom;

/**
 * The degradation controllers of the single tenants. Each sheds the load of its tenant beyond the
 * quota.
 */
final class TenantControllers {
  /** Receives each change of a tenant's level, with its time since the router's start. */
  interface TransitionListener {
    void levelChanged(Duration time, int tenant, LevelTransition transition);
  }

  private final TenantLoads loads;
  private final DegradationController[] controllers;
  private final SheddingRotation[] rotations;

  /**
   * Creates a controller and a rotation for each tenant. Splits one generator for each controller,
   * then one for each rotation.
   */
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

  /** The fraction that is shed of a tenant's load beyond its quota, 0 to 1. */
  double shedFraction(int tenant) {
    return controllers[tenant].shedFraction();
  }

  /** Counts the priority weight of an offered request, admitted or not. */
  void offered(int tenant, double weight) {
    loads.offered(tenant, weight);
  }

  /** Whether a request of a tenant at level SHARE is shed; see {@link SheddingRotation#sheds}. */
  boolean sheds(int tenant, long key, double weight, double positionInSlot) {
    double fraction = controllers[tenant].shedFraction() * loads.excessFraction(tenant);
    return rotations[tenant].sheds(tenant, key, weight, fraction, positionInSlot);
  }

  /** Updates which tenants exceed their quotas. */
  void updateLoads() {
    loads.update();
  }

  /**
   * Applies a control signal for a number of seconds to the tenants over their quotas; the service
   * of the other tenants is restored.
   *
   * @param retainedFraction fraction of the offered weights that the rotations retain
   * @return the fraction of the total load that is beyond tenants' quotas; 0 if the controllers of
   *     all these tenants already have a shed fraction of 1
   */
  double update(
      Duration now,
      double seconds,
      double retainedFraction,
      ControlSignal signal,
      ServiceLevel lowestLevel,
      TransitionListener listener) {
    double excessWeight = 0;
    boolean canShedMore = false;
    double totalWeight = loads.totalWeight();
    ControlSignal restore = ShedRateControl.restoreTenant(signal);
    for (int i = 0; i < controllers.length; i++) {
      boolean isOverQuota = loads.excessFraction(i) > 0;
      if (controllers[i].level() == ServiceLevel.SHARE) {
        rotations[i].advance(seconds, retainedFraction);
      }
      LevelTransition change =
          controllers[i].update(now, seconds, isOverQuota ? signal : restore, lowestLevel);
      if (change != null) {
        listener.levelChanged(now, i, change);
      }
      excessWeight += loads.excessWeight(i);
      canShedMore |= isOverQuota && controllers[i].shedFraction() < 1;
    }
    return canShedMore ? excessWeight / totalWeight : 0;
  }

  /** Multiplies the tenants' measured loads by {@code retainedFraction}. */
  void decay(double retainedFraction) {
    loads.decay(retainedFraction);
  }
}

package switchgap.admission;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Decides which offered requests are admitted to the router. One degradation controller acts on all
 * requests and one on each tenant. All conditions are ratios to the settings and to values measured
 * by this router; they do not depend on names of tenants or request classes. The routing policy's
 * own rejections, limits and choice of workers are not changed: the controllers only observe
 * requests that found no capacity, as pressure. Not thread-safe. Times are durations since the
 * router's start; a time before the last tick is ignored.
 */
public final class AdmissionController {
  /**
   * Minimum pressure for entering HOLD, which rejects all requests except those of exempt classes.
   * Prevents HOLD in a mild overload.
   */
  private static final double MIN_HOLD_PRESSURE = 0.5;

  /**
   * Fraction of the pressure that the load beyond tenants' quotas must exceed for the overload to
   * be attributed to these tenants only. Prevents reducing the service of all tenants because of
   * the load of a few.
   */
  private static final double TENANT_PRESSURE_FRACTION = 0.5;

  /**
   * Minimum time between two ticks; earlier ticks are skipped. Avoids the cost of an update for
   * each request.
   */
  private static final double MIN_TICK_SECONDS = 0.1;

  /** Maximum time that one tick accounts for. Limits the effect of a clock that jumps. */
  private static final double MAX_TICK_SECONDS = 1;

  private final AdmissionSettings settings;
  private final SplittableRandom random;
  private final RejectionRules rules;
  private final Duration minStay;
  private final SheddingRotation rotation;
  private final DegradationController globalController;
  private final TenantControllers tenantControllers;
  private final PressureMonitor pressureMonitor;
  private final ShedRateControl shedRateControl;
  private final RetryAfterPolicy retryAfterPolicy;
  private final ServiceLevelHistory history;
  private Duration lastTickAt = Duration.ZERO;

  /**
   * Creates a controller. Controllers with equal seeds and inputs make equal decisions, which also
   * requires a fixed order of draws from the generator.
   */
  public AdmissionController(AdmissionSettings settings, long seed) {
    this.settings = settings;
    this.random = new SplittableRandom(seed);
    this.rules = new RejectionRules(settings);
    AdmissionTiming timing = AdmissionTiming.draw(settings, random);
    this.minStay = timing.minStay();
    this.rotation = new SheddingRotation(timing.rotationPeriod(), random.split());
    this.globalController =
        new DegradationController(minStay, random.split(), rules.effectiveLevels());
    this.tenantControllers =
        new TenantControllers(settings, minStay, timing.rotationPeriod(), random);
    this.pressureMonitor = new PressureMonitor(settings);
    this.shedRateControl = new ShedRateControl(pressureMonitor, settings.protectedFraction());
    this.retryAfterPolicy = new RetryAfterPolicy(settings.maxRetryAfter());
    this.history = new ServiceLevelHistory(settings.priorityWeights().length);
  }

  /**
   * Records the CPU utilization that a worker reported with a response, 0 to 1; NaN if it reported
   * none.
   */
  public void workerReported(double utilization) {
    pressureMonitor.workerReported(utilization);
  }

  /**
   * Decides whether an offered request is admitted. A rejected request was never executed.
   *
   * @param tenant index of the tenant; negative for none
   * @param requestClass index of the request class
   * @param key equal for requests for the same function, so that a retry gets the same decision
   */
  public AdmissionDecision decide(Duration now, int tenant, int requestClass, long key) {
    tick(now);
    if (tenant >= 0) {
      tenantControllers.offered(tenant, settings.priorityWeights()[requestClass]);
    }
    ServiceLevel level = rejectingLevel(tenant, requestClass, key);
    if (level == null) {
      return AdmissionDecision.ADMITTED;
    }
    history.countRejection(level, requestClass);
    // Drawn even if no delay is returned, so that the order of draws does not depend on the
    // setting.
    double draw = random.nextDouble();
    return new AdmissionDecision(false, level, retryAfterPolicy.retryAfter(level, draw));
  }

  /** The level that rejects a request, or null if it is admitted. */
  private ServiceLevel rejectingLevel(int tenant, int requestClass, long key) {
    ServiceLevel firstRejectingLevel = rules.firstRejectingLevel(requestClass);
    if (firstRejectingLevel == null) {
      return null;
    }
    ServiceLevel current = globalController.level();
    if (current.compareTo(firstRejectingLevel) > 0) {
      return firstRejectingLevel;
    }
    double weight = settings.priorityWeights()[requestClass];
    if (current == firstRejectingLevel
        && rotation.sheds(
            tenant, key, weight, globalController.shedFraction(), random.nextDouble())) {
      return firstRejectingLevel;
    }
    boolean tenantSheds =
        tenant >= 0
            && settings.isIdempotent(requestClass)
            && tenantControllers.level(tenant) == ServiceLevel.SHARE
            && tenantControllers.sheds(tenant, key, weight, random.nextDouble());
    return tenantSheds ? ServiceLevel.SHARE : null;
  }

  /** Records the outcome of an admitted request. */
  public void requestEnded(Duration now, int requestClass, RequestOutcome outcome) {
    tick(now);
    pressureMonitor.requestEnded(settings.priorityWeights()[requestClass], outcome);
  }

  /**
   * Advances the controllers to a time. A tick accounts for at most one second, so that a clock
   * that jumps has little effect at once. No effect within {@value #MIN_TICK_SECONDS} s after the
   * last tick.
   */
  public void tick(Duration now) {
    double elapsedSeconds = (now.toNanos() - lastTickAt.toNanos()) / 1e9;
    if (elapsedSeconds < MIN_TICK_SECONDS) {
      return;
    }
    history.addTime(globalController.level(), now.minus(lastTickAt));
    lastTickAt = now;
    double accountedSeconds = Math.min(MAX_TICK_SECONDS, elapsedSeconds);
    tenantControllers.updateLoads();
    double rotationRetainedFraction = pressureMonitor.maxRetainedFraction(accountedSeconds);
    rotation.advance(accountedSeconds, rotationRetainedFraction);
    ControlSignal signal = shedRateControl.signal();
    double tenantExcess =
        tenantControllers.update(
            now,
            accountedSeconds,
            rotationRetainedFraction,
            signal,
            settings.lowestLevel(),
            this::record);
    updateGlobalLevel(now, accountedSeconds, signal, tenantExcess);
    double retainedFraction = pressureMonitor.retainedFraction(accountedSeconds);
    pressureMonitor.decay(retainedFraction);
    tenantControllers.decay(retainedFraction);
  }

  private void updateGlobalLevel(
      Duration now, double seconds, ControlSignal signal, double tenantExcess) {
    LevelTransition expired = globalController.expirePin(now);
    if (expired != null) {
      record(now, ServiceLevelChange.ALL_TENANTS, expired);
    }
    // Load beyond quotas is handled by the tenants' own controllers while these can shed more.
    boolean isCausedByTenants =
        signal.shedRate() > 0 && tenantExcess > TENANT_PRESSURE_FRACTION * pressure();
    LevelTransition change =
        globalController.update(
            now,
            seconds,
            isCausedByTenants ? signal.withShedRate(0) : signal,
            currentLowestLevel());
    if (change != null && !globalController.isPinned()) {
      record(now, ServiceLevelChange.ALL_TENANTS, change);
    }
  }

  private ServiceLevel currentLowestLevel() {
    boolean isHoldAllowed = settings.lowestLevel() == ServiceLevel.HOLD;
    return isHoldAllowed && pressure() < MIN_HOLD_PRESSURE
        ? ServiceLevel.MOST
        : settings.lowestLevel();
  }

  private void record(Duration now, int tenant, LevelTransition transition) {
    history.add(
        new ServiceLevelChange(
            now,
            tenant,
            transition.previous(),
            transition.current(),
            transition.condition().text(),
            pressureMonitor.pressure(),
            pressureMonitor.samples()));
  }

  /** Fraction of the admitted priority weight that found no capacity, 0 to 1. */
  public double pressure() {
    return pressureMonitor.pressure();
  }

  /** Pins a level for all requests until a time, regardless of the pressure. */
  public void pin(Duration now, ServiceLevel level, Duration until) {
    record(now, ServiceLevelChange.ALL_TENANTS, globalController.pin(level, until));
  }

  /** Whether a level is pinned for all requests. */
  public boolean isPinned() {
    return globalController.isPinned();
  }

  /** The current level for all requests. */
  public ServiceLevel level() {
    return globalController.level();
  }

  /**
   * The fraction that is rejected of the requests that the level for all requests may reject, 0 to
   * 1.
   */
  public double shedFraction() {
    return globalController.shedFraction();
  }

  /** The current level of a tenant: FULL or SHARE. */
  public ServiceLevel level(int tenant) {
    return tenantControllers.level(tenant);
  }

  /** The fraction that is rejected of a tenant's load beyond its quota, 0 to 1. */
  public double shedFraction(int tenant) {
    return tenantControllers.shedFraction(tenant);
  }

  /** The last changes of level, oldest first; at most 64. */
  public List<ServiceLevelChange> changes() {
    return history.changes();
  }

  /** The changes of level since the last call of this method, oldest first; at most the last 64. */
  public List<ServiceLevelChange> drainChanges() {
    return history.drain();
  }

  /** The minimum time that a level stays in effect. */
  public Duration minStay() {
    return minStay;
  }

  /** The total time during which a level was in effect for all requests. */
  public Duration timeAt(ServiceLevel level) {
    return history.timeAt(level);
  }

  /** The number of requests of a class that a level rejected. */
  public long rejections(ServiceLevel level, int requestClass) {
    return history.rejections(level, requestClass);
  }
}

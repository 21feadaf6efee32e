package switchgap.admission;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Decides which offered requests are admitted to the router. One degradation controller acts on all
 * requests and one on each tenant. Conditions are ratios to the settings and to what this router
 * measures; names of tenants or request classes play no part. The router's own rejections, bounds
 * and choice of workers are not touched: the controllers only see requests that found no capacity,
 * as pressure. Not thread-safe; times are durations since the router's start, and one before the
 * last tick is ignored.
 */
public final class AdmissionController {
  /**
   * Pressure from which HOLD, which admits nothing, may be taken: guards against it in a mild
   * overload.
   */
  private static final double HOLD_PRESSURE = 0.5;

  /**
   * Fraction of the pressure that the tenants' load beyond their quotas must exceed to count
   * against these tenants alone: guards against reducing the service of all for the load of a few.
   */
  private static final double TENANT_PRESSURE_FRACTION = 0.5;

  /** Ticks closer than this are skipped: guards against the cost of an update for each request. */
  private static final double MIN_TICK_SECONDS = 0.1;

  /** Time that a tick counts at most: guards against a clock that jumps. */
  private static final double MAX_TICK_SECONDS = 1;

  private final AdmissionSettings settings;
  private final SplittableRandom random;
  private final RejectionRules rules;
  private final Duration minStay;
  private final SheddingRotation rotation;
  private final DegradationController common;
  private final TenantControllers tenants;
  private final PressureMonitor monitor;
  private final ShedRateControl control;
  private final RetryAfterPolicy retryAfter;
  private final ServiceLevelHistory history;
  private Duration tickedAt = Duration.ZERO;

  /** Equal seeds make equal decisions. The order of draws from the generator is part of that. */
  public AdmissionController(AdmissionSettings settings, long seed) {
    this.settings = settings;
    this.random = new SplittableRandom(seed);
    this.rules = new RejectionRules(settings);
    AdmissionTiming timing = AdmissionTiming.draw(settings, random);
    this.minStay = timing.minStay();
    this.rotation = new SheddingRotation(timing.rotationPeriod(), random.split());
    this.common = new DegradationController(minStay, random.split(), rules.effectiveLevels());
    this.tenants = new TenantControllers(settings, minStay, timing.rotationPeriod(), random);
    this.monitor = new PressureMonitor(settings);
    this.control = new ShedRateControl(monitor, settings.protectedFraction());
    this.retryAfter = new RetryAfterPolicy(settings.maxRetryAfter());
    this.history = new ServiceLevelHistory(settings.priorityWeights().length);
  }

  /** A worker's response reported its CPU utilization, 0 to 1; NaN where it reported none. */
  public void workerReported(double utilization) {
    monitor.workerReported(utilization);
  }

  /**
   * Decides on an offered request. What is rejected here was never executed.
   *
   * @param tenant its index; below 0 for none
   * @param requestClass its index
   * @param key equal for requests for the same function, so that a retry meets the same decision
   */
  public AdmissionDecision decide(Duration now, int tenant, int requestClass, long key) {
    tick(now);
    if (tenant >= 0) {
      tenants.offered(tenant, settings.priorityWeights()[requestClass]);
    }
    ServiceLevel level = rejectingLevel(tenant, requestClass, key);
    if (level == null) {
      return AdmissionDecision.ADMITTED;
    }
    history.countRejection(level, requestClass);
    // Drawn also without a delay, so that the order of draws does not depend on that setting.
    double draw = random.nextDouble();
    return new AdmissionDecision(false, level, retryAfter.retryAfter(level, draw));
  }

  /** The level that rejects this request, or null where it is admitted. */
  private ServiceLevel rejectingLevel(int tenant, int requestClass, long key) {
    ServiceLevel first = rules.firstRejecting(requestClass);
    if (first == null) {
      return null;
    }
    ServiceLevel current = common.level();
    if (current.compareTo(first) > 0) {
      return first;
    }
    double weight = settings.priorityWeights()[requestClass];
    if (current == first
        && rotation.sheds(tenant, key, weight, common.shedFraction(), random.nextDouble())) {
      return first;
    }
    boolean tenantSheds =
        tenant >= 0
            && settings.isIdempotent(requestClass)
            && tenants.level(tenant) == ServiceLevel.SHARE
            && tenants.sheds(tenant, key, weight, random.nextDouble());
    return tenantSheds ? ServiceLevel.SHARE : null;
  }

  /** An admitted request has ended. */
  public void requestEnded(Duration now, int requestClass, RequestOutcome outcome) {
    tick(now);
    monitor.requestEnded(settings.priorityWeights()[requestClass], outcome);
  }

  /**
   * Advances to a time; a tick counts a second at most, so that a clock that jumps changes nothing
   * at once. Without effect within {@value #MIN_TICK_SECONDS} s of the last tick.
   */
  public void tick(Duration now) {
    double elapsed = (now.toNanos() - tickedAt.toNanos()) / 1e9;
    if (elapsed < MIN_TICK_SECONDS) {
      return;
    }
    history.addTime(common.level(), now.minus(tickedAt));
    tickedAt = now;
    double seconds = Math.min(MAX_TICK_SECONDS, elapsed);
    tenants.updateLoads();
    double rotationRetained = monitor.retainedAtMost(seconds);
    rotation.advance(seconds, rotationRetained);
    ControlSignal signal = control.signal();
    double tenantExcess =
        tenants.update(
            now, seconds, rotationRetained, signal, settings.lowestLevel(), this::record);
    updateCommon(now, seconds, signal, tenantExcess);
    double retained = monitor.retained(seconds);
    monitor.decay(retained);
    tenants.decay(retained);
  }

  private void updateCommon(
      Duration now, double seconds, ControlSignal signal, double tenantExcess) {
    LevelTransition expired = common.expirePin(now);
    if (expired != null) {
      record(now, ServiceLevelChange.ALL_TENANTS, expired);
    }
    // Load beyond quotas counts against the tenants' own controllers while these can shed more.
    boolean fromTenants =
        signal.shedRate() > 0 && tenantExcess > TENANT_PRESSURE_FRACTION * pressure();
    LevelTransition change =
        common.update(
            now, seconds, fromTenants ? signal.withShedRate(0) : signal, lowestLevelNow());
    if (change != null && !common.isPinned()) {
      record(now, ServiceLevelChange.ALL_TENANTS, change);
    }
  }

  private ServiceLevel lowestLevelNow() {
    boolean holdAllowed = settings.lowestLevel() == ServiceLevel.HOLD;
    return holdAllowed && pressure() < HOLD_PRESSURE ? ServiceLevel.MOST : settings.lowestLevel();
  }

  private void record(Duration now, int tenant, LevelTransition transition) {
    history.add(
        new ServiceLevelChange(
            now,
            tenant,
            transition.previous(),
            transition.current(),
            transition.condition().text(),
            monitor.pressure(),
            monitor.samples()));
  }

  /** Fraction of the admitted priority weight that found no capacity. */
  public double pressure() {
    return monitor.pressure();
  }

  /** Pins a level for all requests until a time, whatever the pressure. */
  public void pin(Duration now, ServiceLevel level, Duration until) {
    record(now, ServiceLevelChange.ALL_TENANTS, common.pin(level, until));
  }

  public boolean isPinned() {
    return common.isPinned();
  }

  /** The level for all requests. */
  public ServiceLevel level() {
    return common.level();
  }

  /** Fraction rejected of what the level for all requests may reject, 0 to 1. */
  public double shedFraction() {
    return common.shedFraction();
  }

  /** The level of a tenant: FULL or SHARE. */
  public ServiceLevel level(int tenant) {
    return tenants.level(tenant);
  }

  /** Fraction rejected of a tenant's load beyond its quota, 0 to 1. */
  public double shedFraction(int tenant) {
    return tenants.shedFraction(tenant);
  }

  /** The last changes, oldest first; 64 at most. */
  public List<ServiceLevelChange> changes() {
    return history.changes();
  }

  /** The changes since the last call of this method, oldest first; the last 64 at most. */
  public List<ServiceLevelChange> drainChanges() {
    return history.drain();
  }

  /** The shortest stay on a level. */
  public Duration minStay() {
    return minStay;
  }

  /** Time spent at a level for all requests. */
  public Duration timeAt(ServiceLevel level) {
    return history.timeAt(level);
  }

  /** Number of requests of a class that a level rejected. */
  public long rejections(ServiceLevel level, int requestClass) {
    return history.rejections(level, requestClass);
  }
}

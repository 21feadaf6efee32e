package switchgap.config;

import java.time.Duration;
import java.util.List;
import switchgap.admission.AdmissionSettings;
import switchgap.admission.ServiceLevel;
import switchgap.policy.api.Idempotency;

/**
 * The router settings of a YAML document, with its functions, request classes, tenants and zones by
 * name. What the document leaves out is taken as absent (no quota, no prices), never guessed.
 * Immutable. The base classes hold the settings about requests and workers.
 */
public final class YamlRouterSettings extends YamlWorkerSettings {
  private final List<String> zones;
  private final RouterSection router;
  private final LevelsSection levels;
  private final PricesSection prices;

  /**
   * Reads the sections that {@link YamlSections} lists; other keys of the document are left to the
   * caller.
   *
   * @throws InvalidConfigException at the first error
   */
  public YamlRouterSettings(YamlDocument document) {
    this(YamlSections.read(document));
  }

  private YamlRouterSettings(YamlSections sections) {
    super(sections);
    zones = sections.zones();
    router = sections.router();
    levels = sections.levels();
    prices = sections.prices();
  }

  /** The index of a zone, or -1. */
  public int zoneIndex(String name) {
    return zones.indexOf(name);
  }

  /** The name of the zone with an index. */
  public String zoneName(int zone) {
    return zones.get(zone);
  }

  /** The settings of admission control, which degrades the service under overload. */
  public AdmissionSettings admissionSettings() {
    int classCount = requestClassCount();
    double[] priorityWeights = new double[classCount];
    Idempotency[] idempotency = new Idempotency[classCount];
    Duration[] latencyObjectives = new Duration[classCount];
    for (int i = 0; i < classCount; i++) {
      priorityWeights[i] = priorityWeight(i);
      idempotency[i] = idempotency(i);
      latencyObjectives[i] = latencyObjective(i);
    }
    return new AdmissionSettings(
        priorityWeights,
        idempotency,
        latencyObjectives,
        tenantQuotas(),
        levels.exempt().clone(),
        levels.lowestLevel(),
        retryAfterAllowed() ? maxRetryAfter() : null,
        levels.protectedShare());
  }

  /** Whether admission control is enabled. */
  public boolean admissionControlEnabled() {
    return levels.enabled();
  }

  /** The service level to hold from the start on; null where it is not fixed. */
  public ServiceLevel pinnedLevel() {
    return levels.pinnedLevel();
  }

  /** Time from the start for which {@link #pinnedLevel} is held. */
  public Duration pinDuration() {
    return levels.pinDuration();
  }

  @Override
  public int routerIndex() {
    return router.routerIndex();
  }

  @Override
  public int routerCount() {
    return router.routerCount();
  }

  @Override
  public int zone() {
    return router.zone();
  }

  @Override
  public Duration tickInterval() {
    return router.tickInterval();
  }

  @Override
  public double overQuotaWeight() {
    return prices.overQuotaWeight();
  }

  @Override
  public int maxAttempts() {
    return router.maxAttempts();
  }

  @Override
  public boolean hedgingAllowed() {
    return router.permissions().hedging();
  }

  @Override
  public boolean probesAllowed() {
    return router.permissions().probes();
  }

  @Override
  public boolean cancellationAllowed() {
    return router.permissions().cancellation();
  }

  @Override
  public boolean retryAfterAllowed() {
    return !router.maxRetryAfter().isZero();
  }

  @Override
  public Duration maxRetryAfter() {
    return router.maxRetryAfter();
  }

  @Override
  public double crossZonePrice() {
    return prices.crossZone();
  }

  @Override
  public double probePrice() {
    return prices.probe();
  }
}

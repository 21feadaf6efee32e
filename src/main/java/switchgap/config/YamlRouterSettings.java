package switchgap.config;

import java.time.Duration;
import java.util.List;
import switchgap.admission.AdmissionSettings;
import switchgap.admission.ServiceLevel;
import switchgap.policy.api.Idempotency;

/**
 * Router settings that are read from a YAML document, and lookup by name of its functions, request
 * classes, tenants and zones. An omitted quota or price means that there is none; it is never
 * derived from other settings. Immutable. The base classes hold the settings of requests and of
 * workers.
 */
public final class YamlRouterSettings extends YamlWorkerSettings {
  private final List<String> zones;
  private final RouterSection router;
  private final LevelsSection levels;
  private final PricesSection prices;

  /**
   * Reads the sections that {@link YamlSections} lists. The caller reads the other keys of the
   * document and rejects unknown ones.
   *
   * @throws InvalidConfigException at the first invalid value
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

  /** The index of the zone with this name, or -1 if there is none. */
  public int zoneIndex(String name) {
    return zones.indexOf(name);
  }

  /**
   * The name of the zone with this index.
   *
   * @throws IndexOutOfBoundsException if there is no such zone
   */
  public String zoneName(int zone) {
    return zones.get(zone);
  }

  /** The settings of admission control, which lowers the service level under overload. */
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
        levels.protectedFraction());
  }

  /** Whether admission control is enabled. */
  public boolean admissionControlEnabled() {
    return levels.enabled();
  }

  /** The service level that is pinned at the router's start; null if none is. */
  public ServiceLevel pinnedLevel() {
    return levels.pinnedLevel();
  }

  /** Time after the router's start for which {@link #pinnedLevel} stays pinned. */
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

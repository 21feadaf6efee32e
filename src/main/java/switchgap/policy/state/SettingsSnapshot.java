package switchgap.policy.state;

import java.time.Duration;
import java.util.Arrays;
import java.util.Comparator;
import switchgap.policy.api.RouterSettings;

/**
 * The settings of a router, read once at its start because some are parsed at each access. The
 * fields correspond to the methods of {@link RouterSettings}; a field that may be null says so.
 */
public final class SettingsSnapshot {
  public final int routerIndex;
  public final int routerCount;
  public final int zone;
  public final Duration tickInterval;
  public final RequestClass[] requestClasses;

  /** The highest priority weight of all request classes. */
  public final double maxPriorityWeight;

  /** The shortest latency objective of all request classes. */
  public final Duration shortestObjective;

  /** The shortest request timeout of all request classes. */
  public final Duration shortestTimeout;

  /** Quota of each tenant in requests per second. */
  public final double[] tenantQuotas;

  public final double overQuotaWeight;
  public final int maxAttempts;
  public final boolean hedgingAllowed;
  public final boolean probesAllowed;
  public final boolean cancellationAllowed;

  /** Maximum retry delay of a rejection; null if rejections may not carry one. */
  public final Duration maxRetryAfter;

  public final Duration drainGrace;
  public final double slowStartCapacityShare;
  public final Duration warmUpDuration;
  public final double slowStartOverloadMultiple;
  public final Duration slowStartOverloadWindow;
  public final boolean loadsOnDemand;
  public final boolean loadCommandsAllowed;
  public final Duration replicaIdleTimeout;
  public final double loadQuotaBase;
  public final double loadQuotaPerRequest;
  public final Duration loadQuotaWindow;

  /** Whether load commands are limited by a quota. */
  public final boolean hasLoadQuota;

  public final double idleMemoryPrice;
  public final double[] workerKindMemory;
  public final double crossZonePrice;
  public final double probePrice;
  public final boolean capacityReported;

  /** Maximum time between two polls of the endpoint list; null if it is not polled. */
  public final Duration endpointPollInterval;

  /** Reads the settings and creates the request classes, whose histograms have these bin edges. */
  public SettingsSnapshot(RouterSettings settings, HistogramEdges edges) {
    routerIndex = settings.routerIndex();
    routerCount = Math.max(1, settings.routerCount());
    zone = settings.zone();
    tickInterval = settings.tickInterval();
    requestClasses = new RequestClass[settings.requestClassCount()];
    Arrays.setAll(requestClasses, index -> new RequestClass(settings, index, edges));
    maxPriorityWeight =
        Arrays.stream(requestClasses)
            .mapToDouble(requestClass -> requestClass.priorityWeight)
            .max()
            .orElse(1);
    shortestObjective =
        Arrays.stream(requestClasses)
            .map(requestClass -> requestClass.latencyObjective)
            .min(Comparator.naturalOrder())
            .orElseThrow();
    shortestTimeout = settings.shortestTimeout();
    tenantQuotas = new double[settings.tenantCount()];
    Arrays.setAll(tenantQuotas, settings::tenantQuota);
    overQuotaWeight = settings.overQuotaWeight();
    maxAttempts = settings.maxAttempts();
    hedgingAllowed = settings.hedgingAllowed();
    probesAllowed = settings.probesAllowed();
    cancellationAllowed = settings.cancellationAllowed();
    maxRetryAfter = settings.retryAfterAllowed() ? settings.maxRetryAfter() : null;
    drainGrace = settings.drainGrace();
    slowStartCapacityShare = settings.slowStartCapacityShare();
    warmUpDuration = settings.warmUpDuration();
    slowStartOverloadMultiple = settings.slowStartOverloadMultiple();
    slowStartOverloadWindow = settings.slowStartOverloadWindow();
    loadsOnDemand = settings.loadsOnDemand();
    loadCommandsAllowed = settings.loadCommandsAllowed();
    replicaIdleTimeout = settings.replicaIdleTimeout();
    loadQuotaBase = settings.loadQuotaBase();
    loadQuotaPerRequest = settings.loadQuotaPerRequest();
    loadQuotaWindow = settings.loadQuotaWindow();
    hasLoadQuota = !loadQuotaWindow.isZero();
    idleMemoryPrice = settings.idleMemoryPrice();
    workerKindMemory = settings.workerKindMemory();
    crossZonePrice = settings.crossZonePrice();
    probePrice = settings.probePrice();
    capacityReported = settings.capacityReported();
    endpointPollInterval = settings.pollsEndpointList() ? settings.endpointPollInterval() : null;
  }
}

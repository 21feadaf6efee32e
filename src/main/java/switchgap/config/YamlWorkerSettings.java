package switchgap.config;

import java.time.Duration;

/**
 * Settings of workers that are read from a YAML document: kinds of worker, slow start, replicas and
 * endpoint list.
 */
abstract class YamlWorkerSettings extends YamlRequestSettings {
  private final WorkerKindsSection workerKinds;
  private final WorkersSection workers;
  private final RulesSection rules;
  private final PricesSection prices;

  YamlWorkerSettings(YamlSections sections) {
    super(sections);
    workerKinds = sections.workerKinds();
    workers = sections.workers();
    rules = sections.rules();
    prices = sections.prices();
  }

  /**
   * The index of the kind of worker with this name; the number of configured kinds if there is
   * none.
   */
  public int workerKindIndex(String name) {
    return workerKinds.index(name);
  }

  /** Always zero: the gateway's endpoint list service never leaves its list unconfirmed. */
  @Override
  public Duration drainGrace() {
    return Duration.ZERO;
  }

  @Override
  public double slowStartCapacityShare() {
    return rules.slowStart().capacityShare();
  }

  @Override
  public Duration warmUpDuration() {
    return rules.slowStart().duration();
  }

  @Override
  public double slowStartOverloadMultiple() {
    return rules.slowStart().overloadMultiple();
  }

  @Override
  public Duration slowStartOverloadWindow() {
    return rules.slowStart().overloadWindow();
  }

  @Override
  public boolean loadsOnDemand() {
    return workers.loadsOnDemand();
  }

  @Override
  public boolean loadCommandsAllowed() {
    return workers.loadCommandsAllowed();
  }

  @Override
  public Duration replicaIdleTimeout() {
    return workers.replicaIdleTimeout();
  }

  @Override
  public double loadQuotaBase() {
    return rules.loadQuota().base();
  }

  @Override
  public double loadQuotaPerRequest() {
    return rules.loadQuota().perRequest();
  }

  @Override
  public Duration loadQuotaWindow() {
    return rules.loadQuota().window();
  }

  @Override
  public double idleMemoryPrice() {
    return prices.idleMemory();
  }

  @Override
  public double[] workerKindMemory() {
    return workerKinds.memoryMb().clone();
  }

  @Override
  public boolean capacityReported() {
    return workers.capacityReported();
  }

  @Override
  public boolean pollsEndpointList() {
    return workers.pollsEndpointList();
  }

  @Override
  public Duration endpointPollInterval() {
    return workers.endpointPollInterval();
  }
}

package switchgap.config;

/**
 * The section {@code prices}: prices of resources, and the weight of requests over quota.
 *
 * @param idleMemory price of memory that idle replicas occupy; 0 if omitted
 * @param crossZone price of an attempt in another zone, as a share of a request's weight; 0 if
 *     omitted
 * @param probe price of a load probe, as a share of a request's weight; 0 if omitted
 * @param overQuotaWeight share of its weight that a request over its tenant's quota earns
 */
record PricesSection(double idleMemory, double crossZone, double probe, double overQuotaWeight) {
  private static final double MAX_PRICE = 1e3;
  private static final double DEFAULT_OVER_QUOTA_WEIGHT = 0.2;

  static PricesSection read(YamlDocument section) {
    double idleMemory = section.number("memory", 0, MAX_PRICE, 0);
    double crossZone = section.number("crossing", 0, MAX_PRICE, 0);
    double probe = section.number("probe", 0, MAX_PRICE, 0);
    double overQuotaWeight = section.number("over_share_worth", 0, 1, DEFAULT_OVER_QUOTA_WEIGHT);
    section.rejectUnknownKeys();
    return new PricesSection(idleMemory, crossZone, probe, overQuotaWeight);
  }
}

package switchgap.config;

import java.util.List;

/**
 * The sections of the gateway's YAML document that contain router settings.
 *
 * @param zones names of the zones, in the order of the document
 */
record YamlSections(
    List<String> zones,
    RouterSection router,
    WorkerKindsSection workerKinds,
    RequestClassesSection requestClasses,
    TenantsSection tenants,
    FunctionsSection functions,
    WorkersSection workers,
    RulesSection rules,
    LevelsSection levels,
    PricesSection prices) {
  /** The only zone, if the document has no key {@code zones}. */
  private static final List<String> DEFAULT_ZONES = List.of("zone");

  /**
   * Reads the sections {@code zones, router, kinds, workloads, customers, functions, workers,
   * rules, levels, prices} in this order. The caller reads the other keys of the document and
   * rejects unknown ones.
   *
   * @throws InvalidConfigException at the first invalid value
   */
  static YamlSections read(YamlDocument document) {
    List<String> zones = document.has("zones") ? document.textList("zones") : DEFAULT_ZONES;
    RouterSection router = RouterSection.read(document.section("router"), zones);
    WorkerKindsSection workerKinds = WorkerKindsSection.read(document.optionalSection("kinds"));
    RequestClassesSection requestClasses = RequestClassesSection.read(document);
    TenantsSection tenants = TenantsSection.read(document.optionalSection("customers"));
    FunctionsSection functions =
        FunctionsSection.read(document.section("functions"), requestClasses, tenants);
    WorkersSection workers = WorkersSection.read(document.optionalSection("workers"));
    RulesSection rules = RulesSection.read(document.optionalSection("rules"));
    LevelsSection levels = LevelsSection.read(document.optionalSection("levels"), requestClasses);
    PricesSection prices = PricesSection.read(document.optionalSection("prices"));
    return new YamlSections(
        zones,
        router,
        workerKinds,
        requestClasses,
        tenants,
        functions,
        workers,
        rules,
        levels,
        prices);
  }
}

package switchgap.testbed.scenario;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.yaml.snakeyaml.LoaderOptions;
import org.yaml.snakeyaml.Yaml;
import org.yaml.snakeyaml.constructor.SafeConstructor;
import switchgap.testbed.emulator.FunctionCatalogue;
import switchgap.testbed.emulator.FunctionModel;

/** Generates the configurations of a scenario's routers, as YAML. */
final class RouterConfigWriter {
  private static final long MICROS_PER_MILLI = 1000;

  /** Keys of a request class that only the emulator reads. */
  private static final List<String> EMULATOR_KEYS =
      List.of("share", "memory", "lanes", "load", "work", "io", "spread");

  /** Sections of the scenario that are copied to the configuration. */
  private static final List<String> COPIED_SECTIONS =
      List.of("workers", "rules", "prices", "holds", "links", "levels");

  private final ScenarioSettings settings;
  private final Map<String, Object> document;

  /**
   * Creates a writer.
   *
   * @param settings settings of the scenario
   * @param document scenario document as plain maps and lists, from which sections are copied
   */
  RouterConfigWriter(ScenarioSettings settings, Map<String, Object> document) {
    this.settings = settings;
    this.document = document;
  }

  /**
   * Generates the configuration of one router.
   *
   * @param index index of the router
   * @param port port on which the router listens
   * @param listPort port of the endpoint list service
   * @param catalogue functions of the scenario
   * @param overrides values as YAML, by {@code section.key}, that replace those of the scenario
   */
  String write(
      int index,
      int port,
      int listPort,
      FunctionCatalogue catalogue,
      Map<String, String> overrides) {
    Map<String, Object> config = new LinkedHashMap<>();
    config.put("router", router(index));
    config.put("seed", settings.timing().seed() + index);
    config.put("zones", settings.zones());
    config.put("kinds", kinds());
    config.put("workloads", requestClasses());
    config.put("customers", tenants());
    config.put("functions", functions(catalogue));
    copySections(config);
    getOrCreateSection(config, "links").put("from", RouterAddress.of(index));
    getOrCreateSection(config, "workers")
        .put("keep_alive", millis(settings.fleet().limits().keepAlive()));
    config.put("listen", Map.of("port", port));
    config.put("list", Map.of("port", listPort));
    overrides.forEach((path, value) -> applyOverride(config, path, value));
    return new Yaml().dump(config);
  }

  private Map<String, Object> router(int index) {
    Map<String, Object> section = mapping(document, "routers");
    Map<String, Object> router = new LinkedHashMap<>();
    router.put("number", index);
    router.put("of", settings.routers().count());
    router.put("zone", settings.zones().get(settings.zoneIndex(index)));
    router.put("tick", settings.timing().tick());
    router.put("executions", settings.routers().maxAttempts());
    router.put("most_come_back", section.getOrDefault("most_come_back", "1s"));
    router.put("second_executions", section.getOrDefault("second_executions", false));
    return router;
  }

  private Map<String, Object> kinds() {
    Map<String, Object> kinds = new LinkedHashMap<>();
    settings
        .fleet()
        .kinds()
        .forEach(kind -> kinds.put(kind.name(), Map.of("memory", kind.memoryMb())));
    return kinds;
  }

  private Map<String, Object> requestClasses() {
    Map<String, Object> section = mapping(document, "workloads");
    Map<String, Object> requestClasses = new LinkedHashMap<>();
    for (String name : section.keySet()) {
      Map<String, Object> requestClass = new LinkedHashMap<>(mapping(section, name));
      EMULATOR_KEYS.forEach(requestClass::remove);
      requestClasses.put(name, requestClass);
    }
    return requestClasses;
  }

  private Map<String, Object> tenants() {
    Map<String, Object> section = mapping(document, "customers");
    Map<String, Object> tenants = new LinkedHashMap<>();
    for (String name : section.keySet()) {
      tenants.put(name, Map.of("rate", mapping(section, name).get("rate")));
    }
    return tenants;
  }

  private Map<String, Object> functions(FunctionCatalogue catalogue) {
    Map<String, Object> functions = new LinkedHashMap<>();
    catalogue.functions().stream()
        .sorted(Comparator.comparing(FunctionModel::name))
        .forEach(
            model ->
                functions.put(
                    model.name(),
                    function(
                        model.requestClass(), model.memoryMb(), model.slots(), model.loadTime())));
    List<FunctionCatalogue.FunctionGroup> groups = settings.functionGroups();
    for (int requestClass = 0; requestClass < groups.size(); requestClass++) {
      FunctionCatalogue.FunctionGroup group = groups.get(requestClass);
      for (String prefix : List.of("hot-", "once-")) {
        functions.put(
            prefix + group.requestClass() + "-*",
            function(requestClass, group.memoryMb(), group.slots(), group.loadTime()));
      }
    }
    return functions;
  }

  private Map<String, Object> function(
      int requestClass, double memoryMb, int slots, long loadTime) {
    Map<String, Object> function = new LinkedHashMap<>();
    function.put("workload", settings.profiles().get(requestClass).name());
    function.put("memory", Math.round(memoryMb));
    function.put("lanes", slots);
    function.put("load_time", millis(loadTime));
    return function;
  }

  private void copySections(Map<String, Object> config) {
    for (String name : COPIED_SECTIONS) {
      if (document.containsKey(name)) {
        config.put(name, new LinkedHashMap<>(mapping(document, name)));
      }
    }
    if (config.containsKey("rules")) {
      // Only the invariant checker allows a grace period; a router stops sending immediately.
      getOrCreateSection(config, "rules").remove("drain_grace");
    }
  }

  private static void applyOverride(Map<String, Object> config, String path, String value) {
    String[] sectionAndKey = path.split("\\.", 2);
    Map<String, Object> section = new LinkedHashMap<>();
    if (config.containsKey(sectionAndKey[0])) {
      section.putAll(mapping(config, sectionAndKey[0]));
    }
    section.put(sectionAndKey[1], new Yaml(new SafeConstructor(new LoaderOptions())).load(value));
    config.put(sectionAndKey[0], section);
  }

  private static Map<String, Object> getOrCreateSection(Map<String, Object> config, String name) {
    config.computeIfAbsent(name, key -> new LinkedHashMap<>());
    return mapping(config, name);
  }

  @SuppressWarnings("unchecked") // ScenarioReader has validated the document.
  private static Map<String, Object> mapping(Map<String, Object> parent, String name) {
    return (Map<String, Object>) parent.get(name);
  }

  private static String millis(long micros) {
    return micros / MICROS_PER_MILLI + "ms";
  }
}

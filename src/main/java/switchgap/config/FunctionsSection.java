package switchgap.config;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The section {@code functions}. A key is the name of a function or, with an asterisk at its end, a
 * prefix of names.
 *
 * @param byName settings of single functions, by name
 * @param byPrefix settings of prefixes, in the order of the document
 */
record FunctionsSection(Map<String, FunctionSettings> byName, List<FunctionSettings> byPrefix) {
  private static final double MAX_MEMORY_MB = 1e9;
  private static final int MAX_SLOTS = 10_000;
  private static final int NO_TENANT = -1;

  static FunctionsSection read(
      YamlDocument section, RequestClassesSection classes, TenantsSection tenants) {
    Map<String, FunctionSettings> byName = new HashMap<>();
    List<FunctionSettings> byPrefix = new ArrayList<>();
    for (String name : section.keys()) {
      FunctionSettings function = readFunction(name, section.section(name), classes, tenants);
      if (function.isPrefix()) {
        byPrefix.add(function);
      } else {
        byName.put(name, function);
      }
    }
    return new FunctionsSection(byName, byPrefix);
  }

  private static FunctionSettings readFunction(
      String name, YamlDocument section, RequestClassesSection classes, TenantsSection tenants) {
    int requestClass = classes.index(section.choice("workload", classes.names()));
    int tenant = readTenant(section, tenants);
    double memoryMb = section.number("memory", 0, MAX_MEMORY_MB);
    int slots = section.integer("lanes", 1, MAX_SLOTS);
    Duration loadTime = section.duration("load_time", null);
    section.rejectUnknownKeys();
    return new FunctionSettings(name, requestClass, memoryMb, slots, loadTime, tenant);
  }

  private static int readTenant(YamlDocument section, TenantsSection tenants) {
    return section.has("customer")
        ? tenants.index(section.choice("customer", tenants.names()))
        : NO_TENANT;
  }

  /**
   * Returns the settings of a function; null if none match. An entry with exactly this name takes
   * precedence; of several matching prefixes, the first in the document applies.
   */
  FunctionSettings find(String function) {
    FunctionSettings exact = byName.get(function);
    if (exact != null) {
      return exact;
    }
    for (FunctionSettings entry : byPrefix) {
      if (entry.matches(function)) {
        return entry;
      }
    }
    return null;
  }
}

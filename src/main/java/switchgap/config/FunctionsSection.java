package switchgap.config;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The section {@code functions}: entries of one function each, and entries of all functions with a
 * prefix, whose keys end in an asterisk.
 *
 * @param byName entries of one function
 * @param byPrefix entries of a prefix, in the order of the document
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
    String className = section.text("workload");
    int requestClass = classes.index(className);
    if (requestClass < 0) {
      throw section.invalid(
          "workload", "'" + className + "' must be one of " + String.join(", ", classes.names()));
    }
    int tenant = readTenant(section, tenants);
    double memoryMb = section.number("memory", 0, MAX_MEMORY_MB);
    int slots = section.integer("lanes", 1, MAX_SLOTS);
    Duration loadTime = section.duration("load_time", null);
    section.rejectUnknownKeys();
    return new FunctionSettings(name, requestClass, memoryMb, slots, loadTime, tenant);
  }

  private static int readTenant(YamlDocument section, TenantsSection tenants) {
    String name = section.text("customer", null);
    if (name == null) {
      return NO_TENANT;
    }
    int tenant = tenants.index(name);
    if (tenant < 0) {
      throw section.invalid(
          "customer", "'" + name + "' must be one of " + String.join(", ", tenants.names()));
    }
    return tenant;
  }

  /**
   * The entry of a function, or null: exact names first, then prefixes in the order of the
   * document.
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

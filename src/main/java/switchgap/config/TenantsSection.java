package switchgap.config;

import java.util.ArrayList;
import java.util.List;

/**
 * The section {@code customers}: the tenants, in the order of the document.
 *
 * @param quotas quota of each tenant, in requests per second over all routers
 */
record TenantsSection(List<String> names, List<Double> quotas) {
  private static final double MAX_QUOTA = 1e9;

  static TenantsSection read(YamlDocument section) {
    List<String> names = section.keys();
    List<Double> quotas = new ArrayList<>();
    for (String name : names) {
      YamlDocument tenant = section.section(name);
      quotas.add(tenant.number("rate", 0, MAX_QUOTA));
      tenant.rejectUnknownKeys();
    }
    return new TenantsSection(names, quotas);
  }

  /** The index of the tenant with this name, or -1 if there is none. */
  int index(String name) {
    return names.indexOf(name);
  }

  double[] quotaArray() {
    return quotas.stream().mapToDouble(Double::doubleValue).toArray();
  }
}

package switchgap.config;

import java.time.Duration;
import java.util.List;

/**
 * The section {@code router}: the index and zone of the router, and what it may do for a request.
 *
 * @param routerCount number of routers
 * @param routerIndex index of this router, counted from 0
 * @param zone index of the router's zone
 * @param tickInterval shortest time between two wake-ups of the routing policy
 * @param maxAttempts maximum number of attempts of a request, including the first
 * @param maxRetryAfter longest retry delay in a rejection; zero if rejections must not contain one
 */
record RouterSection(
    int routerCount,
    int routerIndex,
    int zone,
    Duration tickInterval,
    int maxAttempts,
    Permissions permissions,
    Duration maxRetryAfter) {
  private static final int MAX_ROUTERS = 100_000;
  private static final int HIGHEST_MAX_ATTEMPTS = 64;
  private static final int DEFAULT_MAX_ATTEMPTS = 3;

  /**
   * What a router may do in addition to sending a request's attempts one after another.
   *
   * @param hedging whether a hedged attempt may run beside the first attempt
   * @param probes whether the router may send load probes to workers
   * @param cancellation whether the router may cancel an attempt that is in flight
   */
  record Permissions(boolean hedging, boolean probes, boolean cancellation) {
    static Permissions read(YamlDocument section) {
      boolean hedging = section.flag("second_executions", false);
      boolean probes = section.flag("probes", true);
      boolean cancellation = section.flag("cancels", true);
      return new Permissions(hedging, probes, cancellation);
    }
  }

  static RouterSection read(YamlDocument section, List<String> zones) {
    int routerCount = section.integer("of", 1, MAX_ROUTERS);
    int routerIndex = section.integer("number", 0, routerCount - 1);
    int zone = readZone(section, zones);
    Duration tickInterval = section.duration("tick");
    if (tickInterval.isZero()) {
      throw section.invalid("tick", "must be above 0");
    }
    int maxAttempts = section.integer("executions", 1, HIGHEST_MAX_ATTEMPTS, DEFAULT_MAX_ATTEMPTS);
    Permissions permissions = Permissions.read(section);
    Duration maxRetryAfter = section.duration("most_come_back", Duration.ZERO);
    section.rejectUnknownKeys();
    return new RouterSection(
        routerCount, routerIndex, zone, tickInterval, maxAttempts, permissions, maxRetryAfter);
  }

  private static int readZone(YamlDocument section, List<String> zones) {
    String name = section.text("zone", zones.get(0));
    int zone = zones.indexOf(name);
    if (zone < 0) {
      throw section.invalid(
          "zone", "invalid value '" + name + "': must be one of " + String.join(", ", zones));
    }
    return zone;
  }
}

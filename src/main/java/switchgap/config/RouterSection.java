package switchgap.config;

import java.time.Duration;
import java.util.List;

/**
 * The section {@code router}: which router this is among all, and what it may do for a request.
 *
 * @param zone index of the router's zone
 * @param tickInterval shortest time between two decisions
 * @param maxAttempts attempts of a request, including the first
 * @param maxRetryAfter longest time that a rejection may ask a client to wait; zero where a
 *     rejection must not say when to retry
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
  private static final int MAX_ATTEMPTS = 64;
  private static final int DEFAULT_ATTEMPTS = 3;

  /** What a router may do besides sending one attempt after the other. */
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
    int maxAttempts = section.integer("executions", 1, MAX_ATTEMPTS, DEFAULT_ATTEMPTS);
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
      throw section.invalid("zone", "'" + name + "' must be one of " + String.join(", ", zones));
    }
    return zone;
  }
}

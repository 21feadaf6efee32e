package switchgap.endpoints;

import java.time.Duration;
import java.util.Map;
import java.util.function.ToIntFunction;

/**
 * Translates the names and times of an endpoint list into the router's indices and durations.
 *
 * @param zones returns the index of a zone; below zero where an unknown zone is an error
 * @param workerKinds returns the index of a kind of worker
 * @param routerStartMillis start of the router, in milliseconds of Unix time
 */
public record EndpointNames(
    ToIntFunction<String> zones, ToIntFunction<String> workerKinds, long routerStartMillis) {
  /**
   * Names with known indices; an unknown name has the index one past all known ones.
   *
   * @param zones indices of zones by name
   * @param workerKinds indices of kinds of worker by name
   * @param routerStartMillis start of the router, in milliseconds of Unix time
   */
  public static EndpointNames ofIndices(
      Map<String, Integer> zones, Map<String, Integer> workerKinds, long routerStartMillis) {
    return new EndpointNames(
        zone -> zones.getOrDefault(zone, zones.size()),
        kind -> workerKinds.getOrDefault(kind, workerKinds.size()),
        routerStartMillis);
  }

  /** The time from the router's start to a moment in milliseconds of Unix time; may be negative. */
  Duration sinceRouterStart(long unixMillis) {
    return Duration.ofMillis(unixMillis - routerStartMillis);
  }
}

package switchgap.endpoints;

import java.time.Duration;
import java.util.Map;
import java.util.function.ToIntFunction;

/**
 * Converts the names and times of an endpoint list to the router's indices and durations.
 *
 * @param zones returns the index of a zone, or a negative number for an unknown zone that must be
 *     rejected
 * @param workerKinds returns the index of a worker kind
 * @param routerStartMillis time at which the router started, in milliseconds of Unix time
 */
public record EndpointNames(
    ToIntFunction<String> zones, ToIntFunction<String> workerKinds, long routerStartMillis) {
  /**
   * Creates a conversion from fixed indices. An unknown name has the index that follows those of
   * all known names.
   *
   * @param zones indices of zones by name
   * @param workerKinds indices of worker kinds by name
   * @param routerStartMillis time at which the router started, in milliseconds of Unix time
   */
  public static EndpointNames ofIndices(
      Map<String, Integer> zones, Map<String, Integer> workerKinds, long routerStartMillis) {
    return new EndpointNames(
        zone -> zones.getOrDefault(zone, zones.size()),
        kind -> workerKinds.getOrDefault(kind, workerKinds.size()),
        routerStartMillis);
  }

  /**
   * Returns the time from the router's start to {@code unixMillis}, which is negative if that is
   * before the start.
   */
  Duration sinceRouterStart(long unixMillis) {
    return Duration.ofMillis(unixMillis - routerStartMillis);
  }
}

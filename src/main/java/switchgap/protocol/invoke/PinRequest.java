package switchgap.protocol.invoke;

import java.time.Duration;
import switchgap.admission.ServiceLevel;
import switchgap.config.EnumWords;
import switchgap.net.HttpExchange;

/**
 * An operator's request to pin a service level of all tenants.
 *
 * @param duration for how long, from one second to a day
 */
record PinRequest(ServiceLevel level, Duration duration) {
  private static final long MAX_SECONDS = 86_400;

  /** Reads the query parameters {@code pin} and {@code seconds}. */
  static PinRequest read(HttpExchange exchange) throws InvalidRequestException {
    ServiceLevel level = parseLevel(exchange.queryParameter("pin"));
    long seconds = parseSeconds(exchange.queryParameter("seconds"));
    if (level == null || seconds < 1 || seconds > MAX_SECONDS) {
      throw new InvalidRequestException(
          ProblemType.MALFORMED_PIN,
          "pin must be full, least, most or hold, seconds from 1 to " + MAX_SECONDS);
    }
    return new PinRequest(level, Duration.ofSeconds(seconds));
  }

  /** Returns null for no level, and for the one that applies to single tenants. */
  private static ServiceLevel parseLevel(String word) {
    for (ServiceLevel level : ServiceLevel.values()) {
      if (level != ServiceLevel.SHARE && EnumWords.wordOf(level).equals(word)) {
        return level;
      }
    }
    return null;
  }

  private static long parseSeconds(String digits) {
    try {
      return digits == null ? -1 : Long.parseLong(digits);
    } catch (NumberFormatException e) {
      return -1;
    }
  }
}

package switchgap.protocol.invoke;

import java.time.Duration;
import switchgap.admission.ServiceLevel;
import switchgap.config.EnumWords;
import switchgap.net.HttpExchange;

/**
 * An operator's request to pin the service level of all tenants.
 *
 * @param duration time for which the level stays pinned, from one second to one day
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

  /**
   * Returns null if the text names no level, or {@link ServiceLevel#SHARE}, which applies to single
   * tenants only.
   */
  private static ServiceLevel parseLevel(String text) {
    for (ServiceLevel level : ServiceLevel.values()) {
      if (level != ServiceLevel.SHARE && EnumWords.wordOf(level).equals(text)) {
        return level;
      }
    }
    return null;
  }

  /** Returns -1 if the text is absent or not a number. */
  private static long parseSeconds(String text) {
    try {
      return text == null ? -1 : Long.parseLong(text);
    } catch (NumberFormatException e) {
      return -1;
    }
  }
}

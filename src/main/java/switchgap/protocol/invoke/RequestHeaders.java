package switchgap.protocol.invoke;

import java.time.Duration;
import switchgap.net.HttpExchange;

/**
 * Typed access to the headers of one request. The exception for a malformed value names its header.
 */
final class RequestHeaders {
  /** Maximum length of a key, an id or the name of a function, in characters. */
  static final int MAX_VALUE_LENGTH = 256;

  /** The value of {@code Prefer} that requests a deferred response (RFC 7240). */
  static final String DEFERRED_PREFERENCE = "respond-async";

  private static final int MAX_QUOTED_LENGTH = 60;
  private static final double MAX_MILLIS = 1e10;
  private static final double NANOS_PER_MILLI = 1e6;
  private static final String WAIT_PREFERENCE = "wait=";
  private static final int MAX_WAIT_DIGITS = 6;

  private final HttpExchange exchange;

  RequestHeaders(HttpExchange exchange) {
    this.exchange = exchange;
  }

  /** Returns the value of a header, or null if it is absent. */
  String value(String header) {
    return exchange.header(header);
  }

  /** Like {@link #value}, but rejects a value longer than {@link #MAX_VALUE_LENGTH}. */
  String boundedValue(String header) throws InvalidRequestException {
    String value = value(header);
    if (value != null && value.length() > MAX_VALUE_LENGTH) {
      throw malformed(header + " is longer than " + MAX_VALUE_LENGTH + " characters");
    }
    return value;
  }

  /** Parses a duration in milliseconds, with or without a fraction; a negative one becomes zero. */
  Duration millis(String header, Duration defaultValue) throws InvalidRequestException {
    String value = value(header);
    if (value == null) {
      return defaultValue;
    }
    double millis;
    try {
      millis = Double.parseDouble(value);
    } catch (NumberFormatException e) {
      throw malformed(header + " is no number of milliseconds: " + quoted(value));
    }
    if (millis <= 0) {
      return Duration.ZERO;
    }
    if (millis <= MAX_MILLIS) {
      return Duration.ofNanos((long) (millis * NANOS_PER_MILLI));
    }
    // NaN fails both comparisons and gets here as well.
    throw malformed(header + " is out of range: " + quoted(value));
  }

  /** Parses a time in milliseconds of Unix time; returns null if the header is absent. */
  Long unixMillis(String header) throws InvalidRequestException {
    String value = value(header);
    if (value == null) {
      return null;
    }
    try {
      return Long.valueOf(value);
    } catch (NumberFormatException e) {
      throw malformed(header + " is no time in milliseconds: " + quoted(value));
    }
  }

  boolean prefersDeferred() {
    String prefer = value(HeaderNames.PREFER);
    return prefer != null && prefer.contains(DEFERRED_PREFERENCE);
  }

  /**
   * How many seconds the client prefers to wait for a deferred response, 0 if it states no
   * preference.
   */
  int preferredWaitSeconds() throws InvalidRequestException {
    String prefer = value(HeaderNames.PREFER);
    int start = prefer == null ? -1 : prefer.indexOf(WAIT_PREFERENCE);
    if (start < 0) {
      return 0;
    }
    String digits = prefer.substring(start + WAIT_PREFERENCE.length()).split("[^0-9]", 2)[0];
    if (digits.isEmpty() || digits.length() > MAX_WAIT_DIGITS) {
      throw malformed("Prefer: wait= needs seconds");
    }
    return Integer.parseInt(digits);
  }

  /** Quotes invalid input for an error message: shortened, with control characters replaced. */
  static String quoted(String input) {
    String shortened =
        input.length() > MAX_QUOTED_LENGTH ? input.substring(0, MAX_QUOTED_LENGTH) + "..." : input;
    return "'" + shortened.replaceAll("\\p{Cntrl}", "?") + "'";
  }

  private static InvalidRequestException malformed(String detail) {
    return new InvalidRequestException(ProblemType.MALFORMED_HEADER, detail);
  }
}

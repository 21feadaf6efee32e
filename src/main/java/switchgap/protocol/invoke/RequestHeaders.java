package switchgap.protocol.invoke;

import java.time.Duration;
import switchgap.net.HttpExchange;

/**
 * Typed access to the headers of one request; a malformed value is rejected with the name of its
 * header.
 */
final class RequestHeaders {
  /** Longest value of a key or id, and longest name of a function, characters. */
  static final int MAX_VALUE_LENGTH = 256;

  /** The preference of a client that polls for its response (RFC 7240). */
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

  /** A header's value, or null. */
  String text(String header) {
    return exchange.header(header);
  }

  /** A header's value of bounded length, or null. */
  String boundedText(String header) throws InvalidRequestException {
    String value = text(header);
    if (value != null && value.length() > MAX_VALUE_LENGTH) {
      throw malformed(header + " is longer than " + MAX_VALUE_LENGTH + " characters");
    }
    return value;
  }

  /** A duration in milliseconds, fractions allowed; zero for a value below zero. */
  Duration millis(String header, Duration defaultValue) throws InvalidRequestException {
    String value = text(header);
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
    throw malformed(header + " is out of range: " + quoted(value)); // not a number too
  }

  /** A time in milliseconds since the epoch, or null. */
  Long epochMillis(String header) throws InvalidRequestException {
    String value = text(header);
    if (value == null) {
      return null;
    }
    try {
      return Long.valueOf(value);
    } catch (NumberFormatException e) {
      throw malformed(header + " is no time in milliseconds: " + quoted(value));
    }
  }

  /** Whether the client prefers a deferred response. */
  boolean prefersDeferred() {
    String prefer = text(HeaderNames.PREFER);
    return prefer != null && prefer.contains(DEFERRED_PREFERENCE);
  }

  /**
   * For how many seconds the client prefers to wait for a deferred response; 0 where it doesn't
   * say.
   */
  int preferredWaitSeconds() throws InvalidRequestException {
    String prefer = text(HeaderNames.PREFER);
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

  /** Bad input as it is quoted in a problem: shortened, and without what could break a line. */
  static String quoted(String input) {
    String shortened =
        input.length() > MAX_QUOTED_LENGTH ? input.substring(0, MAX_QUOTED_LENGTH) + "..." : input;
    return "'" + shortened.replaceAll("\\p{Cntrl}", "?") + "'";
  }

  private static InvalidRequestException malformed(String detail) {
    return new InvalidRequestException(ProblemType.MALFORMED_HEADER, detail);
  }
}

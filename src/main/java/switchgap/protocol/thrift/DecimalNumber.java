package switchgap.protocol.thrift;

import java.time.Duration;

/** Parses plain decimal numbers in the text of a request's fields. */
final class DecimalNumber {
  /** Maximum duration in milliseconds that a client may state: one hour. */
  static final double MAX_MILLIS = 3_600_000;

  private static final int MAX_DIGITS = 24;
  private static final double NANOS_PER_MILLI = 1e6;
  private static final String PUNCTUATION = "+-.eE";

  private DecimalNumber() {}

  /**
   * Parses a number from 0 to {@code max}; 0 is allowed, as clients round small numbers down to it.
   * Forms that only Java accepts (NaN, 1f, 0x1p3, surrounding blanks) are rejected.
   */
  static double parse(String text, String field, double max) throws InvalidSubmitException {
    if (text == null || text.isEmpty() || text.length() > MAX_DIGITS || !isDecimal(text)) {
      throw new InvalidSubmitException(field);
    }
    double number = parseDouble(text);
    if (number >= 0 && number <= max) {
      return number;
    }
    throw new InvalidSubmitException(field);
  }

  /** Parses a duration in milliseconds, from 0 to {@code maxMillis}. */
  static Duration parseMillis(String text, String field, double maxMillis)
      throws InvalidSubmitException {
    return Duration.ofNanos(Math.round(parse(text, field, maxMillis) * NANOS_PER_MILLI));
  }

  private static boolean isDecimal(String text) {
    for (int i = 0; i < text.length(); i++) {
      char character = text.charAt(i);
      boolean isDigit = character >= '0' && character <= '9';
      if (!isDigit && PUNCTUATION.indexOf(character) < 0) {
        return false;
      }
    }
    return true;
  }

  /** The number, or NaN, which fails every range check, if the text is not a number. */
  private static double parseDouble(String text) {
    try {
      return Double.parseDouble(text);
    } catch (NumberFormatException e) {
      return Double.NaN;
    }
  }
}

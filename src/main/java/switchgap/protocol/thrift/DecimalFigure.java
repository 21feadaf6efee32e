package switchgap.protocol.thrift;

import java.time.Duration;

/** Parses plain decimal figures in the text of a request's fields. */
final class DecimalFigure {
  /** The longest duration that a client may state in milliseconds: an hour. */
  static final double MAX_MILLIS = 3_600_000;

  private static final int MAX_DIGITS = 24;
  private static final double NANOS_PER_MILLI = 1e6;
  private static final String PUNCTUATION = "+-.eE";

  private DecimalFigure() {}

  /**
   * Parses a figure of 0 to {@code max}; 0 is allowed, as clients round small figures. What only
   * Java accepts as a number (NaN, 1f, 0x1p3, blanks) is rejected.
   */
  static double parse(String text, String field, double max) throws InvalidSubmitException {
    if (text == null || text.isEmpty() || text.length() > MAX_DIGITS || !isDecimal(text)) {
      throw new InvalidSubmitException(field);
    }
    double figure = parseDouble(text);
    if (figure >= 0 && figure <= max) {
      return figure;
    }
    throw new InvalidSubmitException(field);
  }

  /** Parses a duration in milliseconds, of 0 to {@code maxMillis}. */
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

  /** The figure, or NaN, which is within no bounds, if the text is no number. */
  private static double parseDouble(String text) {
    try {
      return Double.parseDouble(text);
    } catch (NumberFormatException e) {
      return Double.NaN;
    }
  }
}

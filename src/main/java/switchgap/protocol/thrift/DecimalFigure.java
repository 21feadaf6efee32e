package switchgap.protocol.thrift;

import java.time.Duration;

/** Plain decimal figures in the text of a request's fields. */
final class DecimalFigure {
  /** The longest duration that a client may state in milliseconds: an hour. */
  static final double MAX_MILLIS = 3_600_000;

  private static final int MAX_DIGITS = 24;
  private static final double NANOS_PER_MILLI = 1e6;
  private static final String PUNCTUATION = "+-.eE";

  private DecimalFigure() {}

  /**
   * A figure of 0 to {@code max}: usual clients round small ones to 0. What only Java takes for a
   * number (NaN, 1f, 0x1p3, blanks) is none.
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

  /** A duration stated in milliseconds, of 0 to {@code maxMillis}. */
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

  /** The figure, or NaN, which is within no bounds, where digits and signs make none. */
  private static double parseDouble(String text) {
    try {
      return Double.parseDouble(text);
    } catch (NumberFormatException e) {
      return Double.NaN;
    }
  }
}

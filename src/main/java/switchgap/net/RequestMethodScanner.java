package switchgap.net;

import org.glassfish.grizzly.Buffer;

/**
 * Finds the end of the method at the start of each request, in bytes that arrive in any pieces.
 * Grizzly's parser would search for it beyond the end of the line, so it would wait for more bytes,
 * or take a header for a part of the method. Used only on the connection's selector thread.
 */
final class RequestMethodScanner {
  /** What the bytes so far show. */
  enum Result {
    /** The method has not ended. */
    INCOMPLETE,
    /** The method has ended, and the parser may continue. */
    COMPLETE,
    /** The request does not start with a method. */
    MALFORMED
  }

  private static final String TOKEN_SYMBOLS = "!#$%&'*+-.^_`|~";

  private boolean hasStarted;
  private boolean isComplete;

  /** Prepares for the next request. */
  void reset() {
    hasStarted = false;
    isComplete = false;
  }

  /**
   * Scans further bytes of a request. Advances the buffer past empty lines before the method, which
   * RFC 9112, section 2.2, asks to ignore.
   */
  Result scan(Buffer input) {
    if (isComplete) {
      return Result.COMPLETE;
    }
    skipEmptyLines(input);
    for (int i = input.position(); i < input.limit(); i++) {
      byte next = input.get(i);
      if (next == ' ' && hasStarted) {
        isComplete = true;
        return Result.COMPLETE;
      }
      if (!isTokenCharacter(next)) {
        return Result.MALFORMED;
      }
      hasStarted = true;
    }
    return Result.INCOMPLETE;
  }

  private void skipEmptyLines(Buffer input) {
    while (!hasStarted && input.hasRemaining() && isLineEnd(input.get(input.position()))) {
      input.position(input.position() + 1);
    }
  }

  private static boolean isLineEnd(byte character) {
    return character == '\r' || character == '\n';
  }

  private static boolean isTokenCharacter(byte character) {
    return (character >= 'A' && character <= 'Z')
        || (character >= 'a' && character <= 'z')
        || (character >= '0' && character <= '9')
        || TOKEN_SYMBOLS.indexOf(character) >= 0;
  }
}

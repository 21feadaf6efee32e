package switchgap.config;

/**
 * Reports invalid input of an operator or of the platform. The message is one line: the place (file
 * and line of a YAML document; file and key of a JSON file; an environment variable) and the
 * reason.
 */
public final class InvalidConfigException extends RuntimeException {
  private static final long serialVersionUID = 1;

  /**
   * Reports an error on a line of a file.
   *
   * @param file the file, as the operator named it
   * @param line the line, counted from 1
   * @param reason the section, the key, what is wrong, and which values are allowed
   */
  public InvalidConfigException(String file, int line, String reason) {
    this(file + ":" + line, reason);
  }

  /**
   * Reports an error at a place that has no line number.
   *
   * @param place a file, a file and the path of a key in it, or an environment variable
   * @param reason what is wrong
   */
  public InvalidConfigException(String place, String reason) {
    super(place + ": " + reason);
  }
}

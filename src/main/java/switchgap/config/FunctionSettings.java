package switchgap.config;

import java.time.Duration;

/**
 * A function of the YAML document, or all functions with a common prefix where the name ends in an
 * asterisk.
 *
 * @param name the function's name, or the prefix followed by an asterisk
 * @param requestClass index of the request class of its requests
 * @param memoryMb memory of a replica, in MB
 * @param slots requests that a replica serves concurrently
 * @param loadTime time that loading a replica takes, or null where it is not configured
 * @param tenant index of the tenant that owns it, or -1 where none is configured
 */
public record FunctionSettings(
    String name, int requestClass, double memoryMb, int slots, Duration loadTime, int tenant) {
  private static final String PREFIX_MARK = "*";

  boolean isPrefix() {
    return name.endsWith(PREFIX_MARK);
  }

  boolean matches(String function) {
    return isPrefix()
        ? function.startsWith(name.substring(0, name.length() - PREFIX_MARK.length()))
        : name.equals(function);
  }
}

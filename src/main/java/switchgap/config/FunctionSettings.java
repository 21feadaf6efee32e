package switchgap.config;

import java.time.Duration;

/**
 * The settings of one function or, if the name ends in an asterisk, of all functions whose names
 * have a common prefix.
 *
 * @param name name of the function, or the prefix followed by an asterisk
 * @param requestClass index of the function's request class
 * @param memoryMb memory of a replica, in MB
 * @param slots number of requests that a replica serves concurrently
 * @param loadTime time that loading a replica takes, or null if it is not configured
 * @param tenant index of the tenant that owns the function, or -1 if none is configured
 */
public record FunctionSettings(
    String name, int requestClass, double memoryMb, int slots, Duration loadTime, int tenant) {
  private static final String WILDCARD = "*";

  boolean isPrefix() {
    return name.endsWith(WILDCARD);
  }

  boolean matches(String function) {
    return isPrefix()
        ? function.startsWith(name.substring(0, name.length() - WILDCARD.length()))
        : name.equals(function);
  }
}

package switchgap.net;

import java.time.Duration;

/**
 * Limits of one {@link HttpServer}.
 *
 * @param maxHeaderBytes bytes of a request line together with its headers
 * @param maxBodyBytes bytes of a request's body
 * @param maxConnections connections open at a time; further ones are closed at once
 * @param idleTimeout how long a connection may stay open without a request
 * @param receiveTimeout how long a request may take from its first byte to its last
 */
public record HttpServerLimits(
    int maxHeaderBytes,
    int maxBodyBytes,
    int maxConnections,
    Duration idleTimeout,
    Duration receiveTimeout) {
  /** The limits of servers that have none configured. */
  public static final HttpServerLimits DEFAULT =
      new HttpServerLimits(
          16 << 10, 1 << 20, 20_000, Duration.ofSeconds(75), Duration.ofSeconds(10));
}

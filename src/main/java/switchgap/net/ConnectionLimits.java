package switchgap.net;

import java.time.Duration;

/**
 * Bounds of one {@link HttpServer}.
 *
 * @param maxHeaderBytes bytes of a request line together with its headers
 * @param maxBodyBytes bytes of a request's body
 * @param maxConnections connections open at a time; further ones are closed at once
 * @param idleTimeout how long a connection may stay open without a request
 * @param receiveTimeout how long a request may take from its first byte to its last
 */
public record ConnectionLimits(
    int maxHeaderBytes,
    int maxBodyBytes,
    int maxConnections,
    Duration idleTimeout,
    Duration receiveTimeout) {
  /** The bounds of servers whose configuration states none. */
  public static final ConnectionLimits DEFAULT =
      new ConnectionLimits(
          16 << 10, 1 << 20, 20_000, Duration.ofSeconds(75), Duration.ofSeconds(10));
}

package switchgap.net;

import java.time.Duration;

/**
 * Limits of one {@link HttpServer}.
 *
 * @param maxHeaderBytes maximum size of a request line together with the headers
 * @param maxBodyBytes maximum size of a request body
 * @param maxConnections maximum number of open connections; further connections are closed
 *     immediately
 * @param idleTimeout time for which a connection may stay open without a request
 * @param receiveTimeout maximum time from the first byte of a request to its last byte
 */
public record HttpServerLimits(
    int maxHeaderBytes,
    int maxBodyBytes,
    int maxConnections,
    Duration idleTimeout,
    Duration receiveTimeout) {
  /** The limits of servers without configured limits. */
  public static final HttpServerLimits DEFAULT =
      new HttpServerLimits(
          16 << 10, 1 << 20, 20_000, Duration.ofSeconds(75), Duration.ofSeconds(10));
}

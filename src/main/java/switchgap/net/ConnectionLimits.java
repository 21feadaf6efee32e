package switchgap.net;

import java.time.Duration;

/**
 * What one door allows.
 *
 * @param headerBytes  a request line with its headers, at the most
 * @param bodyBytes    a body, at the most
 * @param connections  open at a time; further ones are closed at once
 * @param idle         a connection without a request may stay this long
 * @param arrival      a request must have come whole within this span of its first byte
 */
public record ConnectionLimits(int maxHeaderBytes, int maxBodyBytes, int maxConnections, Duration idleTimeout,
    Duration receiveTimeout) {
    public static final ConnectionLimits DEFAULT = new ConnectionLimits(16 << 10, 1 << 20, 20_000,
        Duration.ofSeconds(75),
        Duration.ofSeconds(10));
}

package switchgap.protocol.inference;

import java.time.Duration;

/**
 * Limits of one pool of connections to a worker. Each worker has a pool for attempts and one for
 * commands.
 *
 * @param maxConnections maximum number of connections that are open or being opened
 * @param maxPendingExchanges maximum number of exchanges that wait for a connection
 * @param connectTimeout time within which a connection must be open
 * @param idleTimeout time after which an idle connection is closed
 */
public record HttpPoolLimits(
    int maxConnections, int maxPendingExchanges, Duration connectTimeout, Duration idleTimeout) {}

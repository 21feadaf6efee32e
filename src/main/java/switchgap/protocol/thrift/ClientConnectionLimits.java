package switchgap.protocol.thrift;

import java.time.Duration;

/**
 * Bounds on what clients may take of the router.
 *
 * @param maxConnections open connections
 * @param maxExcessConnections further connections until the event loop has evicted others
 * @param maxUnsentBytes bytes of one connection's replies that its client has not read
 * @param maxRequestBytes bytes of all messages queued for the event loop, and, counted apart, of
 *     the bodies of all requests in flight
 * @param maxRequests requests in flight
 * @param receiveTimeout for a connection's first message, and for the rest of any message
 * @param sweepInterval between calls of {@link ThriftServer#closeOverdueConnections}
 */
public record ClientConnectionLimits(
    int maxConnections,
    int maxExcessConnections,
    int maxUnsentBytes,
    int maxRequestBytes,
    int maxRequests,
    Duration receiveTimeout,
    Duration sweepInterval) {}

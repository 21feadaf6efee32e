package switchgap.protocol.thrift;

import java.time.Duration;

/**
 * Limits on the router's resources that clients may use.
 *
 * @param maxConnections maximum number of connections that may stay open
 * @param maxExcessConnections number of connections that may be open beyond {@code maxConnections}
 *     until the event loop has evicted idle ones
 * @param maxUnsentBytes maximum bytes of unsent replies of one connection
 * @param maxRequestBytes heap in bytes that connections share for the messages that are queued for
 *     the event loop and for unsent replies; reading pauses on a connection that exceeds its share.
 *     The same limit applies separately to the bodies of all requests in flight
 * @param maxRequests maximum number of requests in flight
 * @param receiveTimeout maximum time to receive a connection's first message, and the rest of any
 *     partial message
 * @param sweepInterval interval at which {@link ThriftServer#closeOverdueConnections} is called
 */
public record ClientConnectionLimits(
    int maxConnections,
    int maxExcessConnections,
    int maxUnsentBytes,
    int maxRequestBytes,
    int maxRequests,
    Duration receiveTimeout,
    Duration sweepInterval) {}

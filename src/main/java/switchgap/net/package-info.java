/**
 * Non-blocking TCP and HTTP/1.1 on Grizzly filter chains: servers, client connections and
 * length-prefixed frames.
 *
 * <p>Callbacks run on the selector threads of a {@link switchgap.net.NetworkTransport} and must not
 * block. Each of these threads runs an event loop, and their number is fixed. After a stall of the
 * process or of an event loop, received bytes may have arrived some time before they are read.
 * {@link switchgap.net.TcpConnection#maxReceiveDelay} returns an upper bound of that time, and
 * {@link switchgap.net.StallDetector} and {@link switchgap.net.StallHistory} exclude stalls from
 * timeouts.
 *
 * <p>The package does not depend on inference requests, workers or the routing policy.
 */
package switchgap.net;

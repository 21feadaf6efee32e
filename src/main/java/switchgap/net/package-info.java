/**
 * Non-blocking TCP and HTTP/1.1 on Grizzly filter chains: servers, client connections and
 * length-prefixed frames.
 *
 * <p>Callbacks run on selector threads, of which a {@link switchgap.net.NetworkTransport} has a
 * fixed number, each with an event loop; they must not block. Where the process or an event loop
 * was stalled, received bytes may be older than their read: {@link
 * switchgap.net.TcpConnection#maxReceiveDelay} bounds by how much, and {@link
 * switchgap.net.StallDetector} and {@link switchgap.net.StallHistory} keep stalls out of timeouts.
 *
 * <p>The package is independent of requests to a model, of workers and of policy.
 */
package switchgap.net;

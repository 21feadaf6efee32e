/**
 * Non-blocking TCP and HTTP/1.1 on Grizzly filter chains: servers, client connections and
 * length-prefixed frames. Callbacks run on selector threads, of which a {@link
 * switchgap.net.NetworkTransport} has a fixed number, and must not block. The package knows nothing
 * of requests to a model, of workers or of policy.
 */
package switchgap.net;

/**
 * The invoke API over HTTP: synchronous and deferred requests with their responses, and what
 * operators read (status, service levels, metrics, health). {@link
 * switchgap.protocol.invoke.InvokeApi} routes each request to a handler; requests are validated on
 * the thread that read them, all else runs on the router's event loop.
 */
package switchgap.protocol.invoke;

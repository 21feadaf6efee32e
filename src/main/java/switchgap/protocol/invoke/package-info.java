/**
 * The invoke API over HTTP: synchronous and deferred requests with their responses, and the pages
 * for operators (status, service levels, metrics, health). {@link
 * switchgap.protocol.invoke.InvokeApi} routes each request to a handler; requests are validated on
 * the thread that read them, everything else runs on the event loop.
 */
package switchgap.protocol.invoke;

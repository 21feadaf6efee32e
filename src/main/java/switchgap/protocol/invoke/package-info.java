/** The invoke API: calls in by HTTP, synchronous and deferred, and their final answers out. */
package switchgap.protocol.invoke;

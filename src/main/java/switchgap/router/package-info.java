/**
 * One router's core: holds requests, feeds the policy, carries out what it decides. Free of
 * sockets, threads and clock; everything from outside comes through {@link
 * switchgap.router.WorkerTransport} and the events of a tick.
 */
package switchgap.router;

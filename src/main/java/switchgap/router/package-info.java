/**
 * One router's core: holds requests, notifies the policy of events and carries out its decisions.
 * Free of sockets, threads and clocks; the outside is reached through {@link
 * switchgap.router.WorkerTransport} and the events of a tick.
 */
package switchgap.router;

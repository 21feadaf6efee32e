/**
 * The core of a router: holds requests, notifies the policy of events and executes its decisions.
 * The package uses no sockets, threads or clocks. It communicates with workers through {@link
 * switchgap.router.WorkerTransport} and receives input as the events of a tick.
 */
package switchgap.router;

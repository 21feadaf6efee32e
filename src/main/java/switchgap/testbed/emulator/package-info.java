/**
 * Emulators of the systems around a router: model servers, the store that functions are fetched
 * from, the endpoint list service, and clients. They inject the faults that a fault script sets and
 * record the messages that they send and receive on their sockets. Their timing is simulated, so
 * measurements against them do not apply to real servers.
 */
package switchgap.testbed.emulator;

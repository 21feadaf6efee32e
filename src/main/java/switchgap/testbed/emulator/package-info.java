/**
 * Emulated counterparts of a router: model servers, the store that functions are fetched from, the
 * endpoint list service, and clients. They inject the faults of a fault script and record every
 * message they see on their sockets. Their timing is simulated: figures measured against them say
 * nothing about real servers.
 */
package switchgap.testbed.emulator;

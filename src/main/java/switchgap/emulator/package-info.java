/**
 * Stand-ins for what a router meets: model servers, the one store, the list service, clients. They misbehave by
 * script and log each message on their sockets. Simulated servers: their figures say nothing of real ones.
 */
package switchgap.emulator;

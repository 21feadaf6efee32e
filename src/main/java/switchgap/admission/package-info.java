/**
 * Admission control by service level: decides which requests are admitted to the router when more
 * arrive than the workers can serve. One degradation controller acts on all requests and one on
 * each tenant. The package does no I/O, reads no clock and starts no threads; all calls come from
 * one thread. See docs/levels.md.
 */
package switchgap.admission;

/**
 * A soak test of {@code serve}: real router processes on loopback between emulated clients, workers
 * and event stream, under overlapping faults that a seed draws. What happened is judged by what the
 * emulators saw, never by the routers' own word; nothing here shares code with the router's
 * protocols.
 */
package switchgap.testbed.soak;

/**
 * A soak test of {@code serve}: real router processes on loopback ports between emulated clients,
 * workers and an event stream, under overlapping faults that a seed draws. The checks go by what
 * the emulators observed, never by what routers report; nothing here shares code with the protocols
 * of the router.
 */
package switchgap.testbed.soak;

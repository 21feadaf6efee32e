/**
 * A soak test of {@code serve}: real router processes on loopback ports, with emulated clients,
 * workers and an event stream, under overlapping faults drawn from a seed. The checks rely on the
 * observations of the emulators instead of reports of the routers, and the emulators share no
 * protocol code with the router.
 */
package switchgap.testbed.soak;

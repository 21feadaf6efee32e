/**
 * Test beds around routers: emulated workers and clients, scripted scenarios, experiments and the
 * soak test, with the checks of their observations. Routers don't depend on these packages.
 */
package switchgap.testbed;

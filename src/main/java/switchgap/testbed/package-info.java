/**
 * Code for testing routers: emulated workers and clients, scripted scenarios, experiments and the
 * soak test, with the checks of their observations.
 */
package switchgap.testbed;

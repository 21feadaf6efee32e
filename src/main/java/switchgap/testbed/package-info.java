/**
 * Everything that runs in no router: emulated workers and clients, scripted scenarios, experiments
 * and the soak, with the checks of what they saw.
 */
package switchgap.testbed;

/** Scripted days: their page, the rig that plays them over sockets, and the check of the rules from the logs. */
package switchgap.scenario;

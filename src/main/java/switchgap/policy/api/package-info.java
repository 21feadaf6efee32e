/**
 * What a policy is told, what it decides and the settings it goes by: events in, actions out.
 * Immutable values; the callers' indices are small numbers.
 */
package switchgap.policy.api;

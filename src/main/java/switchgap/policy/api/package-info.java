/**
 * The interface of a policy: events in, actions out, and the settings it reads. Values are
 * immutable; indices are small numbers that the caller assigns.
 */
package switchgap.policy.api;

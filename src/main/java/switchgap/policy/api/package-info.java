/**
 * The interface of a routing policy: its input events, its output actions and its settings. Value
 * types are immutable; indices are small numbers that the caller assigns.
 */
package switchgap.policy.api;

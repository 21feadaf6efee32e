/**
 * The endpoint list: its two forms on the wire (lines of JSON, numbered events of a control feed) and the clients that
 * follow its versions.
 */
package switchgap.endpoints;

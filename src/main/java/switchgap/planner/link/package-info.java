/**
 * The connection between an edge and its planner: messages in CBOR, a handshake, one planner for an
 * edge, heartbeats. See docs/split.md.
 */
package switchgap.planner.link;

/**
 * The connection between an edge and its planner: messages in CBOR, a handshake, one planner for an
 * edge, heartbeats. See docs/edge-and-planner.md.
 */
package switchgap.planner.link;

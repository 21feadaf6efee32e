/**
 * The connection between a router and its planner. Messages are encoded in CBOR; a handshake comes
 * first, and the planner sends heartbeats. A router accepts one planner at a time. See
 * docs/edge-and-planner.md.
 */
package switchgap.planner.link;

/**
 * The TCP connection between a router and its planner. The planner connects to the router; a router
 * accepts one planner at a time. Each frame contains one message, encoded in CBOR. Both sides first
 * send a handshake, which states the protocol version, the sender's role and the index of the
 * router. Then the router sends backlogs, to which the planner responds with plans, and the planner
 * sends heartbeats, because the router closes a connection on which it receives no message for 1 s.
 * See docs/edge-and-planner.md.
 */
package switchgap.planner.link;

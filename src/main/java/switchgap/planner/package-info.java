/**
 * The logic of router and planner that decides when each pending load command is sent. A planner is
 * an optional process beside a router; the router, which the protocol between them calls the edge,
 * works without it. The package does no I/O, reads no clock and starts no thread. See
 * docs/edge-and-planner.md.
 */
package switchgap.planner;

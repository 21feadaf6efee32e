/**
 * The logic of router and planner that decides when each pending load command is sent. A planner is
 * an optional process beside a router; the router, which the protocol between them calls the edge,
 * works without it.
 *
 * <p>The router delays load commands in a {@link switchgap.planner.PendingLoadQueue} and reports
 * them to the planner as a {@link switchgap.planner.LoadBacklog}. The planner responds with a
 * {@link switchgap.planner.LoadPlan}, which lists the loads in the order of their priority, and the
 * router sends them in this order. Each connection between the two has its own epoch number; the
 * router rejects plans with another one, because they refer to an earlier connection. If no plan
 * arrives in time, the router sends the loads without one.
 *
 * <p>The package does no I/O, reads no clock and starts no thread. See docs/edge-and-planner.md.
 */
package switchgap.planner;

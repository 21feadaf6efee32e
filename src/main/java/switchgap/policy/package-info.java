/**
 * The decisions of one router, a class a concern: entry ({@link switchgap.policy.RoutingPolicy}),
 * replica scaling, request routing, retries, load commands, slow start, outlier ejection and load
 * estimates. Free of I/O, threads and clock; all tuned values stand here. docs/design.md explains
 * them.
 */
package switchgap.policy;

/**
 * The decisions of one router, a class for each concern: entry ({@link
 * switchgap.policy.RoutingPolicy}), candidate selection, sending, queueing, retries, replica
 * scaling, load commands, slow start, outlier detection and load estimates. Free of I/O, threads
 * and clocks; all tuned values are constants here. docs/design.md explains them.
 */
package switchgap.policy;

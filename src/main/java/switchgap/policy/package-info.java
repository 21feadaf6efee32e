/**
 * The routing policy of one router, one class per concern: entry point ({@link
 * switchgap.policy.RoutingPolicy}), candidate selection, sending, queueing, retries, replica
 * scaling, load commands, slow start, outlier detection and load estimation. The package does no
 * I/O, starts no threads and reads no clock; all tuned values are constants here. See
 * docs/design.md for the design.
 */
package switchgap.policy;

/** The thread that owns a router's state and runs its ticks. */
package switchgap.eventloop;

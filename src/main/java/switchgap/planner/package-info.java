/**
 * What an edge and its planner decide about load commands: which pending load is released when. The
 * package does no I/O, reads no clock and starts no thread. See docs/edge-and-planner.md.
 */
package switchgap.planner;

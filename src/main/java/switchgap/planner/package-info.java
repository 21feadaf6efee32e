/** What edge and planner decide about load orders: which wish goes out when. A module: no I/O, clock or threads; docs/split.md. */
package switchgap.planner;

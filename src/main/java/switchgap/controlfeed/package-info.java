/** The platform's control feed: numbered events of the list of workers, as server-sent events, into the core's list. */
package switchgap.controlfeed;

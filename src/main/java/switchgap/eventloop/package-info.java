/** The one thread that runs a router's rounds. */
package switchgap.eventloop;

package switchgap.testbed.soak;

/**
 * One process of a router that is restarted during a run.
 *
 * @param router index of the router
 * @param number counts the processes of this router from 1
 */
record RouterIncarnation(int router, int number) {}

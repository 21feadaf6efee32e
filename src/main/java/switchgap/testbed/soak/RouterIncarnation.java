package switchgap.testbed.soak;

/**
 * One process of a router, which may be restarted several times during a run.
 *
 * @param router index of the router
 * @param number number of the process, from 1; 0 before the first start
 */
record RouterIncarnation(int router, int number) {}

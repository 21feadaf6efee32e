/**
 * One router's core: holds calls, feeds the module, carries out what it decides. Free of sockets, threads and
 * clock; everything from outside comes through {@link switchgap.router.Outside} and the events of a round.
 */
package switchgap.policy.api;

/**
 * Routers under the simulator's virtual time: frames of binary event records come in on one stream,
 * and each is answered with one frame of action records. All numbers are little-endian; all is done
 * on the one thread that reads the stream.
 */
package switchgap.simulator;

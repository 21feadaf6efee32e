/**
 * Runs routers in the simulator's virtual time. The simulator sends frames of binary event records
 * on one stream; the response to each is one frame of action records. All numbers are
 * little-endian. All work is done on the thread that reads the stream.
 */
package switchgap.simulator;

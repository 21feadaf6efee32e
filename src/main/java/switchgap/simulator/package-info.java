/**
 * Runs routers in the virtual time of a simulator, which is a separate program. The simulator sends
 * frames of binary event records on one stream; the response to each is one frame of action
 * records. A frame consists of a header, records of a fixed size, and a tail for the parts of
 * variable length, to which records refer by offset and size. All numbers are little-endian. All
 * work is done on the thread that reads the stream.
 */
package switchgap.simulator;

package switchgap.testbed.emulator;

/**
 * What the emulator knows of a function. Times in microseconds.
 *
 * @param name name of the function
 * @param requestClass index of its request class
 * @param memoryMb memory of a replica in MB
 * @param slots requests that a replica runs at a time
 * @param loadTime time to load a replica, fetch included
 * @param work mean compute time on a core of speed 1
 * @param ioTime time that a request waits for I/O before it computes
 * @param workSigma sigma of the lognormal spread of the compute time
 * @param idempotencyWindow time for which an idempotency key is remembered, 0 where repeats are run
 *     again
 */
public record FunctionModel(
    String name,
    int requestClass,
    double memoryMb,
    int slots,
    long loadTime,
    double work,
    double ioTime,
    double workSigma,
    long idempotencyWindow) {}

package switchgap.testbed.emulator;

/**
 * The properties of an emulated function. Times are in microseconds.
 *
 * @param name name of the function
 * @param requestClass index of its request class
 * @param memoryMb memory of a replica in MB
 * @param slots number of requests that a replica runs concurrently
 * @param loadTime time to load a replica, including the fetch
 * @param work mean compute time on a core of speed 1
 * @param ioTime time that a request waits for I/O before it computes
 * @param workSigma sigma of the lognormal spread of the compute time
 * @param idempotencyWindow time for which workers remember an idempotency key; 0 if they ignore
 *     idempotency keys
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

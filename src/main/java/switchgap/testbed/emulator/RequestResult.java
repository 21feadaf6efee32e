package switchgap.testbed.emulator;

/**
 * What became of a client's request. Times in microseconds.
 *
 * @param requestClass name of the request class
 * @param tenant name of the tenant
 * @param router index of the router
 * @param arrivedAt time of arrival
 * @param duration time over all attempts
 * @param attempts attempts made
 * @param lastAttempt how the last attempt ended
 * @param earned weight earned
 */
public record RequestResult(
    String requestClass,
    String tenant,
    int router,
    long arrivedAt,
    long duration,
    int attempts,
    AttemptEnd lastAttempt,
    double earned) {}

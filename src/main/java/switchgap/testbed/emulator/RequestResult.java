package switchgap.testbed.emulator;

/**
 * The result of a client's request. Times are in microseconds.
 *
 * @param requestClass name of the request class
 * @param tenant name of the tenant
 * @param router index of the router
 * @param arrivedAt time at which the request arrived
 * @param duration time from the arrival to the end of the last attempt
 * @param attempts number of attempts
 * @param lastAttempt how the last attempt ended
 * @param earned priority weight that the response earned; 0 without success
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

package switchgap.router;

import java.time.Duration;

/**
 * Limits of a router's core.
 *
 * @param commandTimeout timeout of a load command, a replica query or an unload
 * @param probeTimeout timeout of a load probe
 * @param maxFunctions number of functions tracked at a time; when the limit is reached, a request
 *     for another function is not accepted unless the policy releases an idle function
 */
public record CoreLimits(Duration commandTimeout, Duration probeTimeout, int maxFunctions) {}

package switchgap.router;

import java.time.Duration;

/**
 * Limits of a router's core.
 *
 * @param commandTimeout timeout of a load command, a replica query or an unload
 * @param probeTimeout timeout of a load probe
 * @param maxFunctions number of functions tracked at a time; a request for another function is not
 *     accepted when the limit is reached
 */
public record CoreLimits(Duration commandTimeout, Duration probeTimeout, int maxFunctions) {}

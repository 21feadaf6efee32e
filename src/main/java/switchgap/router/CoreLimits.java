package switchgap.router;

import java.time.Duration;

/**
 * Bounds of a router's core.
 *
 * @param commandTimeout after it a load command, a query or an unload is given up
 * @param probeTimeout after it a probe is given up
 * @param maxFunctions functions known at a time; a request for a further one is not accepted
 */
public record CoreLimits(Duration commandTimeout, Duration probeTimeout, int maxFunctions) {}

package switchgap.router;

import java.time.Duration;

/**
 * Limits of a router's core.
 *
 * @param commandTimeout after it a load command, a query or an unload times out
 * @param probeTimeout after it a load probe times out
 * @param maxFunctions functions known at a time; a request for a further one is not accepted
 */
public record CoreLimits(Duration commandTimeout, Duration probeTimeout, int maxFunctions) {}

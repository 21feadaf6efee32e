package switchgap.router;

import java.time.Duration;
import switchgap.policy.api.WorkerState;

/**
 * One line of the list. {@code started} is the start of its process as a span since the router's start (below zero
 * before it), null where it is not told; the same process must have the same value in each version.
 */
public record EndpointUpdate(String name, String host, int port, WorkerState standing, int zone, int cell, int kind, double size,
                     Duration started) { }

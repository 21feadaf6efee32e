package switchgap.server.gateway;

/**
 * Load commands that waited for the planner, and parts of its plans, since the router's start.
 *
 * @param planned load commands sent as a plan said
 * @param timedOut load commands sent without a plan, as their patience was over
 * @param stale parts of plans that named what had gone already
 * @param refused parts of plans that named what was never asked for, and plans of another epoch
 */
public record LoadPlanCounts(long planned, long timedOut, long stale, long refused) {}

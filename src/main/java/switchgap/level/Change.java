package switchgap.level;

import java.time.Duration;

/** A change of level: when, for whom (a customer's index, -1 for all), between which rungs, why, by what figures. */
public record Change(Duration at, int customer, Rung from, Rung to, String condition, double pressure, double evidence) { }

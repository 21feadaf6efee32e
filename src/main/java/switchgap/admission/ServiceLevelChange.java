package switchgap.admission;

import java.time.Duration;

/** A change of level: when, for whom (a customer's index, -1 for all), between which rungs, why, by what figures. */
public record ServiceLevelChange(Duration at, int tenant, ServiceLevel from, ServiceLevel to,
    String condition, double pressure, double samples) {}

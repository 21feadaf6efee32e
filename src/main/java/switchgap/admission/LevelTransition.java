package switchgap.admission;

/** A step of a degradation controller between two levels, and the condition that was met. */
record LevelTransition(ServiceLevel previous, ServiceLevel current, ChangeCondition condition) {}

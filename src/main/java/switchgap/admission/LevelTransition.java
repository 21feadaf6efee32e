package switchgap.admission;

/** A change between two levels of a degradation controller, and the condition that caused it. */
record LevelTransition(ServiceLevel previous, ServiceLevel current, ChangeCondition condition) {}

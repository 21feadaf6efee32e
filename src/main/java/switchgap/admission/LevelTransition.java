package switchgap.admission;

/** A step of a degradation controller from one level to another, and the condition that was met. */
record LevelTransition(ServiceLevel from, ServiceLevel to, ChangeCondition condition) {}

package switchgap.policy.api;

/** The workers among which a fingerprinted job's repeats are dropped. */
public enum DeduplicationScope { ALL, ZONE, CELL }

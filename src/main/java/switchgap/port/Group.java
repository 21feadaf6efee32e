package switchgap.port;

/** The workers among which a fingerprinted job's repeats are dropped. */
public enum Group { ALL, ZONE, CELL }

package switchgap.admission;

/** The levels, from full service down. Each keeps what those before it push back. */
public enum ServiceLevel {
    /** All calls reach the module. */
    FULL,
    /** A customer over its share: what is beyond it and may run again is pushed back. Customers' own ladders only. */
    SHARE,
    /** Work that may run again and is of less than the most importance is pushed back early. */
    LEAST,
    /** Only the most important workloads are taken. */
    MOST,
    /** What is held is held; nothing new is taken. */
    HOLD
}

package switchgap.port;

/** Whether a workload's jobs may run again. */
public enum Repeat { RESTARTABLE, FINGERPRINTED, RUN_ONCE }

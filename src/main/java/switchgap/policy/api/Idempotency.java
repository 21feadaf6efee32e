package switchgap.policy.api;

/** Whether a workload's jobs may run again. */
public enum Idempotency { RESTARTABLE, FINGERPRINTED, RUN_ONCE }

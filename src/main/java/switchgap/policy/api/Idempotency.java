package switchgap.policy.api;

/** Whether a workload's jobs may run again. */
public enum Idempotency { IDEMPOTENT, IDEMPOTENT_WITH_KEY, NON_IDEMPOTENT }

package switchgap.planner;

/** What a planner answers: the wishes that may go out now, in this order; for the epoch and what it was told last. */
public record LoadPlan(long epoch, long sequence, long[] ids) {}

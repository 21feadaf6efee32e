package switchgap.router;

import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;
import switchgap.admission.AdmissionController;
import switchgap.admission.AdmissionDecision;
import switchgap.admission.RequestOutcome;
import switchgap.admission.ServiceLevel;
import switchgap.admission.ServiceLevelChange;
import switchgap.policy.api.LoadReport;
import switchgap.policy.api.RouterSettings;

/**
 * Where calls are offered: asks the levels, and hands on to the core what passes. What a level pushes back was never
 * executed, so the pushback keeps rules 1 and 2. Runs within the core's rounds.
 */
public final class AdmissionGate {
    private static final double CROWDED_BY = 1.2; // start targets: a pushback so early found no room
    private final RouterCore core;
    private final RouterSettings terms;
    private final AdmissionController levels;
    private final Consumer<ServiceLevelChange> told;

    /** Without levels (null) everything passes. Each change of level is told. */
    public AdmissionGate(RouterCore core, RouterSettings terms, AdmissionController levels,
        Consumer<ServiceLevelChange> told) {
        this.core = core;
        this.terms = terms;
        this.levels = levels;
        this.told = told;
        if (levels != null) {
            core.observe(new RouterCore.RequestObserver() {
                @Override public void requestEnded(PendingRequest c, Response a) {
                    AdmissionGate.this.requestEnded(c, a);
                }

                @Override public void workerReported(LoadReport l) {
                    levels.workerReported(l.cpuUtilization());
                }
            });
        }
    }

    public RouterCore core() { return core; }

    public AdmissionController admission() { return levels; }

    /** Offers a call. False when it was not taken and gets no answer here: no room, or its limit has passed. */
    public boolean offer(PendingRequest c) {
        if (levels == null) { return core.accept(c); }
        AdmissionDecision v = levels.decide(core.now(), c.tenant, c.requestClass, c.function.hashCode());
        reportChanges();
        if (v.admitted()) { return core.accept(c); }
        reject(c, v); // deferred ones too: to give up is to answer now
        return true;
    }

    private void reject(PendingRequest c, AdmissionDecision v) {
        if (c.deadline.compareTo(core.now()) <= 0) {
            c.state = PendingRequest.State.OVERDUE;
            c.listener.deadlineMissed(c, Response.rejected(v.retryAfter()));
            return;
        }
        c.state = PendingRequest.State.ANSWERED;
        c.shedBy = v.level();
        c.listener.responded(c, Response.rejected(v.retryAfter()));
    }

    private void requestEnded(PendingRequest c, Response a) {
        Duration took = core.now().minus(c.acceptedAt);
        Duration target = terms.latencyObjective(c.requestClass);
        levels.requestEnded(core.now(), c.requestClass, outcome(c, a, took, target));
        reportChanges();
    }

    private static RequestOutcome outcome(PendingRequest c, Response a, Duration took, Duration target) {
        if (a == null) { return RequestOutcome.OTHER; }
        return switch (a.kind()) {
            case SUCCEEDED -> took.compareTo(target) <= 0 ? RequestOutcome.IN_TIME : RequestOutcome.LATE;
            case REJECTED -> c.attempts.stream().noneMatch(attempt -> attempt.mayHaveExecuted)
                && took.toNanos() <= target.toNanos() * CROWDED_BY ? RequestOutcome.SATURATED
                    : RequestOutcome.OTHER;
            case FAILED -> RequestOutcome.OTHER;
        };
    }

    /** Holds a level for all for a span. */
    public void pin(ServiceLevel r, Duration span) {
        levels.pin(core.now(), r, core.now().plus(span));
        reportChanges();
    }

    /** Lets time pass for the levels where nothing is offered. */
    public void tick() {
        if (levels != null) {
            levels.tick(core.now());
            reportChanges();
        }
    }

    private void reportChanges() {
        List<ServiceLevelChange> fresh = levels.drainChanges();
        fresh.forEach(told);
    }
}

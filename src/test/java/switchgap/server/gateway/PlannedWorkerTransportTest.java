package switchgap.server.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.lang.reflect.Proxy;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import switchgap.config.YamlDocument;
import switchgap.config.YamlRouterSettings;
import switchgap.planner.LoadPlan;
import switchgap.planner.LoadScheduler;
import switchgap.policy.api.AttemptOutcome;
import switchgap.policy.api.LoadReport;
import switchgap.policy.api.PolicyEvents;
import switchgap.policy.api.WorkerState;
import switchgap.router.Attempt;
import switchgap.router.CoreLimits;
import switchgap.router.EndpointUpdate;
import switchgap.router.PendingRequest;
import switchgap.router.RouterCore;
import switchgap.router.WorkerCommand;
import switchgap.router.WorkerEntry;
import switchgap.router.WorkerTransport;
import switchgap.testing.ReachableObjects;

/** Days of load orders through the edge's part for the planner: none running, one that goes, one that stays. */
class PlannedWorkerTransportTest implements WorkerTransport {
    private final List<Consumer<RouterCore>> next = new ArrayList<>();
    private final YamlRouterSettings terms = new YamlRouterSettings(
        YamlDocument.read("t", GatewayFixture.TERMS));
    private final PlannedWorkerTransport planned = new PlannedWorkerTransport(this, terms,
        Duration.ofMillis(60), next::add);
    private final PolicyEvents nothing = (PolicyEvents) Proxy.newProxyInstance(
        PolicyEvents.class.getClassLoader(), new Class<?>[] {PolicyEvents.class}, (p, m, a) -> null);
    private int ordered;
    private final RouterCore core = new RouterCore(terms, (now, in, out) -> {
        in.deliverTo(nothing);
        if (ordered > 0) { out.load(0, 0); }
    }, planned, new CoreLimits(Duration.ofSeconds(1), Duration.ofSeconds(1), 10));

    private void rounds(int n, long from) {
        for (int i = 0; i < n; i++) {
            List<Consumer<RouterCore>> now = List.copyOf(next);
            next.clear();
            core.tick(Duration.ofMillis(from + i), now);
        }
    }

    @Test void ordersThatHaveEndedAreNotKept() {
        next.add(c -> {
            c.endpointListReceived(true,
                List.of(new EndpointUpdate("w", "127.0.0.1", 1, WorkerState.READY, 0, 0, 0, 1, null)));
            c.accept(PendingRequest.builder("c", "again-1", Duration.ofDays(9), null).replica(1, 1).build());
        });
        rounds(1, 0);
        long before = ReachableObjects.by(planned);
        ordered = 1;
        rounds(20_000, 1); // no planner
        assertThat(ReachableObjects.by(planned)).isLessThan(before + 100);
        next.add(c -> planned.plannerConnected(c, 1));
        rounds(20_000, 30_000); // one that is silent
        next.add(c -> planned.plannerDisconnected(c, 1));
        rounds(20_000, 60_000);
        ordered = 0;
        rounds(100, 90_000);
        assertThat(ReachableObjects.by(planned)).isLessThan(before + 100);
        assertThat(planned.pendingLoads()).isZero();
    }

    /** Each plan was answered by a further word of what waits, and each word by a plan: an idle pair took most of a core. */
    @Test void nothingIsToldWhereNothingHasChanged() {
        int[] told = {0};
        LoadScheduler planner = new LoadScheduler();
        next.add(c -> {
            planned.setBacklogSender(t -> {
                told[0]++;
                LoadPlan p = planner.plan(t);
                return p != null && next.add(x -> planned.planReceived(x, p));
            });
            c.endpointListReceived(true,
                List.of(new EndpointUpdate("w", "127.0.0.1", 1, WorkerState.READY, 0, 0, 0, 1, null)));
            c.accept(PendingRequest.builder("c", "again-1", Duration.ofDays(9), null).replica(1, 1).build());
            planned.plannerConnected(c, 1);
        });
        rounds(1000, 0);
        assertThat(told[0]).isLessThanOrEqualTo(2);
        ordered = 1;
        rounds(1, 1000);
        ordered = 0;
        rounds(1000, 1001);
        assertThat(told[0]).isBetween(2, 5);
        assertThat(planned.pendingLoads()).isZero();
        assertThat(planned.counts().planned()).isEqualTo(1); // it went out at the planner's word
    }

    @Override public void requestReplicas(WorkerEntry worker, String function, int copies,
        WorkerCommand order) {
        next.add(c -> c.loadCommandEnded(order, AttemptOutcome.SUCCEEDED, 1));
    }

    @Override public void startAttempt(Attempt run, Duration allow) {}

    @Override public AttemptOutcome abandon(Attempt run) { return AttemptOutcome.TIMED_OUT; }

    @Override public void unload(WorkerEntry worker, String function, WorkerCommand order) {}

    @Override public void probe(WorkerEntry worker, WorkerCommand order) {
        next.add(c -> c.probeEnded(order, AttemptOutcome.SUCCEEDED, LoadReport.NONE));
    }

    @Override public void abandon(WorkerCommand order) {}

    @Override public void requestEndpointList() {}
}

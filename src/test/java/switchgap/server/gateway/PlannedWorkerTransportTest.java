package switchgap.server.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.lang.reflect.Proxy;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
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

/**
 * Sends many load commands through the transport without a planner, with a silent planner and with
 * a working one.
 */
class PlannedWorkerTransportTest {
  private final List<Consumer<RouterCore>> nextTickEvents = new ArrayList<>();
  private final YamlRouterSettings settings =
      new YamlRouterSettings(YamlDocument.read("t", GatewayFixture.SETTINGS));
  private final PlannedWorkerTransport transport =
      new PlannedWorkerTransport(
          new NextTickWorkers(), settings, Duration.ofMillis(60), nextTickEvents::add);
  private final PolicyEvents ignoredEvents =
      (PolicyEvents)
          Proxy.newProxyInstance(
              PolicyEvents.class.getClassLoader(),
              new Class<?>[] {PolicyEvents.class},
              (proxy, method, arguments) -> null);
  private int requestedLoads;
  private final RouterCore core =
      new RouterCore(
          settings,
          (now, events, actions) -> {
            events.deliverTo(ignoredEvents);
            if (requestedLoads > 0) {
              actions.load(0, 0);
            }
          },
          transport,
          new CoreLimits(Duration.ofSeconds(1), Duration.ofSeconds(1), 10));

  private void runTicks(int count, long fromMillis) {
    for (int i = 0; i < count; i++) {
      List<Consumer<RouterCore>> events = List.copyOf(nextTickEvents);
      nextTickEvents.clear();
      core.tick(Duration.ofMillis(fromMillis + i), events);
    }
  }

  private static void addWorkerWithRequest(RouterCore router) {
    router.endpointListReceived(
        true,
        List.of(new EndpointUpdate("w", "127.0.0.1", 1, WorkerState.READY, 0, 0, 0, 1, null)));
    router.accept(
        PendingRequest.builder("c", GatewayFixture.IDEMPOTENT, Duration.ofDays(9), null)
            .replica(1, 1)
            .build());
  }

  @Test
  void endedLoadCommandsAreNotRetained() {
    nextTickEvents.add(
        router -> {
          addWorkerWithRequest(router);
        });
    runTicks(1, 0);
    long reachableBefore = ReachableObjects.count(transport);
    requestedLoads = 1;
    runTicks(20_000, 1);
    assertThat(ReachableObjects.count(transport)).isLessThan(reachableBefore + 100);
    // A planner connects that never sends a plan.
    nextTickEvents.add(router -> transport.plannerConnected(router, 1));
    runTicks(20_000, 30_000);
    nextTickEvents.add(router -> transport.plannerDisconnected(1));
    runTicks(20_000, 60_000);
    requestedLoads = 0;
    runTicks(100, 90_000);
    assertThat(ReachableObjects.count(transport)).isLessThan(reachableBefore + 100);
    assertThat(transport.pendingLoads()).isZero();
  }

  /**
   * Guards against an endless exchange: a backlog in response to each plan, and a plan in response
   * to each backlog, kept an idle router and its planner busy with most of a CPU core.
   */
  @Test
  void noBacklogIsSentIfNothingHasChanged() {
    AtomicInteger backlogCount = new AtomicInteger();
    LoadScheduler planner = new LoadScheduler();
    nextTickEvents.add(
        router -> {
          transport.setBacklogSender(
              backlog -> {
                backlogCount.incrementAndGet();
                LoadPlan plan = planner.plan(backlog);
                return plan != null
                    && nextTickEvents.add(anyRouter -> transport.planReceived(plan));
              });
          addWorkerWithRequest(router);
          transport.plannerConnected(router, 1);
        });
    runTicks(1000, 0);
    assertThat(backlogCount.get()).isLessThanOrEqualTo(2);
    requestedLoads = 1;
    runTicks(1, 1000);
    requestedLoads = 0;
    runTicks(1000, 1001);
    assertThat(backlogCount.get()).isBetween(2, 5);
    assertThat(transport.pendingLoads()).isZero();
    // The load command was sent because of the plan, not of a timeout.
    assertThat(transport.counts().planned()).isEqualTo(1);
  }

  /**
   * Simulates workers that complete each command in the next tick. It is an inner class so that the
   * test's own state is counted as reachable from the transport as well.
   */
  private final class NextTickWorkers implements WorkerTransport {
    @Override
    public void requestReplicas(
        WorkerEntry worker, String function, int replicas, WorkerCommand command) {
      nextTickEvents.add(router -> router.loadCommandEnded(command, AttemptOutcome.SUCCEEDED, 1));
    }

    @Override
    public void startAttempt(Attempt attempt, Duration timeout) {}

    @Override
    public AttemptOutcome abandon(Attempt attempt) {
      return AttemptOutcome.TIMED_OUT;
    }

    @Override
    public void unload(WorkerEntry worker, String function, WorkerCommand command) {}

    @Override
    public void probe(WorkerEntry worker, WorkerCommand command) {
      nextTickEvents.add(
          router -> router.probeEnded(command, AttemptOutcome.SUCCEEDED, LoadReport.NONE));
    }

    @Override
    public void abandon(WorkerCommand command) {}

    @Override
    public void requestEndpointList() {}
  }
}

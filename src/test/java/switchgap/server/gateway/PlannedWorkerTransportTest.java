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
 * Many load commands through the planned transport: without a planner, with a silent one, with a
 * working one.
 */
class PlannedWorkerTransportTest {
  private final List<Consumer<RouterCore>> nextEvents = new ArrayList<>();
  private final YamlRouterSettings settings =
      new YamlRouterSettings(YamlDocument.read("t", GatewayFixture.SETTINGS));
  private final PlannedWorkerTransport transport =
      new PlannedWorkerTransport(
          new NextTickWorkers(), settings, Duration.ofMillis(60), nextEvents::add);
  private final PolicyEvents noEvents =
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
            events.deliverTo(noEvents);
            if (requestedLoads > 0) {
              actions.load(0, 0);
            }
          },
          transport,
          new CoreLimits(Duration.ofSeconds(1), Duration.ofSeconds(1), 10));

  private void ticks(int count, long fromMillis) {
    for (int i = 0; i < count; i++) {
      List<Consumer<RouterCore>> events = List.copyOf(nextEvents);
      nextEvents.clear();
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
    nextEvents.add(
        router -> {
          addWorkerWithRequest(router);
        });
    ticks(1, 0);
    long before = ReachableObjects.count(transport);
    requestedLoads = 1;
    ticks(20_000, 1); // no planner
    assertThat(ReachableObjects.count(transport)).isLessThan(before + 100);
    nextEvents.add(router -> transport.plannerConnected(router, 1));
    ticks(20_000, 30_000); // one that is silent
    nextEvents.add(router -> transport.plannerDisconnected(1));
    ticks(20_000, 60_000);
    requestedLoads = 0;
    ticks(100, 90_000);
    assertThat(ReachableObjects.count(transport)).isLessThan(before + 100);
    assertThat(transport.pendingLoads()).isZero();
  }

  /**
   * Each plan was answered by a further backlog, and each backlog by a plan: an idle router and its
   * planner took most of a core.
   */
  @Test
  void noBacklogIsSentWhereNothingHasChanged() {
    AtomicInteger backlogs = new AtomicInteger();
    LoadScheduler planner = new LoadScheduler();
    nextEvents.add(
        router -> {
          transport.setBacklogSender(
              backlog -> {
                backlogs.incrementAndGet();
                LoadPlan plan = planner.plan(backlog);
                return plan != null && nextEvents.add(anyRouter -> transport.planReceived(plan));
              });
          addWorkerWithRequest(router);
          transport.plannerConnected(router, 1);
        });
    ticks(1000, 0);
    assertThat(backlogs.get()).isLessThanOrEqualTo(2);
    requestedLoads = 1;
    ticks(1, 1000);
    requestedLoads = 0;
    ticks(1000, 1001);
    assertThat(backlogs.get()).isBetween(2, 5);
    assertThat(transport.pendingLoads()).isZero();
    assertThat(transport.counts().planned()).isEqualTo(1); // sent as the plan said
  }

  /**
   * Workers that carry out each command in the next tick. An inner class, so that all that the test
   * holds counts as reachable from the transport.
   */
  private final class NextTickWorkers implements WorkerTransport {
    @Override
    public void requestReplicas(
        WorkerEntry worker, String function, int replicas, WorkerCommand command) {
      nextEvents.add(router -> router.loadCommandEnded(command, AttemptOutcome.SUCCEEDED, 1));
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
      nextEvents.add(
          router -> router.probeEnded(command, AttemptOutcome.SUCCEEDED, LoadReport.NONE));
    }

    @Override
    public void abandon(WorkerCommand command) {}

    @Override
    public void requestEndpointList() {}
  }
}

package switchgap.policy;

import static org.assertj.core.api.Assertions.assertThat;
import static switchgap.policy.AttemptEnd.failed;
import static switchgap.policy.AttemptEnd.rejected;
import static switchgap.policy.AttemptEnd.succeeded;
import static switchgap.policy.PolicyHarness.millis;
import static switchgap.policy.TestEvents.list;
import static switchgap.policy.TestEvents.replicaLoaded;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import switchgap.policy.api.AttemptOutcome;
import switchgap.policy.api.AttemptResult;
import switchgap.policy.api.LoadReport;

/** Selection of the worker that a request is sent to. */
class RequestRouterTest {
  @Test
  void overflowsToReplicaPastTargetWhenTargetReplicaIsSaturated() throws IOException {
    PolicyHarness harness = new PolicyHarness(new TestSettings());
    harness.at(0, events -> list(events, 4)).at(10, events -> harness.requestArrives(events, 0, 0));
    int primary = harness.firstWorker();
    harness.at(
        90,
        events ->
            harness.attemptEnds(events, succeeded(0, primary).withDuration(80).withConcurrency(0)));
    harness.at(
        100,
        events -> {
          for (int request = 1; request < 9; request++) {
            harness.requestArrives(events, request, 0);
          }
        });
    int next = harness.lastLoadedAt();
    harness.at(300, events -> replicaLoaded(events, next, 0, 200));
    harness.assertTrace("overflow");
  }

  @Test
  void sendsRequestsInTickOfFirstEndpointList() throws IOException {
    TestSettings settings = new TestSettings();
    settings.loadsOnDemand = true;
    PolicyHarness harness = new PolicyHarness(settings);
    harness.at(
        0,
        events -> {
          list(events, 3);
          for (int request = 0; request < 8; request++) {
            harness.requestArrives(events, request, 0);
          }
        });
    harness.assertTrace("restart");
  }

  @Test
  void makesSameDecisionsForSameEventsAndSeed() {
    assertThat(traceOfRetry()).isEqualTo(traceOfRetry());
  }

  private static String traceOfRetry() {
    PolicyHarness harness = new PolicyHarness(new TestSettings());
    harness.at(0, events -> list(events, 4)).at(10, events -> harness.requestArrives(events, 0, 0));
    int first = harness.firstWorker();
    return harness
        .at(60, events -> harness.attemptEnds(events, failed(0, first).withDuration(50)))
        .until(2100)
        .trace();
  }

  /** The load of a worker that rejected an attempt is taken as twice its capacity. */
  @Test
  void avoidsWorkerThatRejectedAnAttempt() {
    TestSettings settings = new TestSettings();
    settings.routerCount = 200;
    PolicyHarness harness = new PolicyHarness(settings);
    harness.at(0, events -> list(events, 4)).at(10, events -> harness.requestArrives(events, 0, 0));
    int primary = harness.sentTo(0);
    harness
        .at(
            90,
            events ->
                harness.attemptEnds(
                    events, succeeded(0, primary).withDuration(80).withConcurrency(8)))
        .until(1100);
    // Now the target is two replicas.
    harness.at(1110, events -> harness.requestArrives(events, 1, 0)).until(1200);
    int rejecting = harness.sentTo(1);
    harness.at(
        1210,
        events ->
            harness.attemptEnds(events, rejected(1, rejecting).withDuration(2).withConcurrency(5)));
    assertThat(harness.sentTo(1)).isNotEqualTo(rejecting);
    harness.at(1220, events -> harness.requestArrives(events, 2, 0)).until(1260);
    assertThat(harness.sentTo(2)).isNotEqualTo(rejecting);
  }

  /**
   * All routers rank the workers for a function alike, whatever their index, so that their requests
   * share its replicas.
   */
  @Test
  void allRoutersHaveTheSameHashOrder() {
    for (int function = 0; function < 30; function++) {
      int requestedFunction = function;
      List<Integer> firstWorkers = new ArrayList<>();
      for (int routerIndex = 0; routerIndex < 4; routerIndex++) {
        TestSettings settings = new TestSettings();
        settings.routerIndex = routerIndex;
        settings.routerCount = 4;
        PolicyHarness harness = new PolicyHarness(settings);
        harness
            .at(0, events -> list(events, 9))
            .at(10, events -> harness.requestArrives(events, 0, requestedFunction));
        firstWorkers.add(harness.sentTo(0));
      }
      assertThat(firstWorkers).containsOnly(firstWorkers.get(0));
    }
  }

  /**
   * With few routers, most requests in a load report are this router's own, and they may have ended
   * since. If they were taken as other routers' load, idle workers would get no requests.
   */
  @Test
  void ignoresReportedInFlightRequestsWithFewRouters() {
    PolicyHarness harness = new PolicyHarness(new TestSettings());
    Set<Integer> loading = new HashSet<>();
    harness.onLoad((worker, function) -> loading.add(worker));
    harness.at(0, events -> list(events, 4));
    for (int i = 0; i < 200; i++) {
      int request = i;
      harness.at(10 + 20 * i, events -> harness.requestArrives(events, request, 0));
      harness.at(
          15 + 20 * i,
          events ->
              harness.attemptEnds(
                  events,
                  succeeded(request, harness.sentTo(request)).withDuration(5).withConcurrency(4)));
    }
    assertThat(harness.targetReplicas(0)).isEqualTo(2);
    harness.at(4500, events -> loading.forEach(worker -> replicaLoaded(events, worker, 0, 200)));
    harness.at(5000, events -> harness.requestArrives(events, 300, 0));
    int first = harness.sentTo(300);
    harness.at(
        5010,
        events ->
            events.attemptEnded(
                new AttemptResult(
                    300,
                    0,
                    first,
                    AttemptOutcome.SUCCEEDED,
                    millis(10),
                    true,
                    new LoadReport(0.9, 50, Double.NaN, 0))));
    harness.at(5020, events -> harness.requestArrives(events, 301, 0));
    assertThat(harness.sentTo(301)).isEqualTo(first);
  }

  @Test
  void avoidsSlowWorker() {
    PolicyHarness harness = new PolicyHarness(new TestSettings());
    PolicyHarness.Replicas replicas = harness.scaleToTwoReplicas(0);
    int earlyRequestsToSlow = 0;
    int lateRequestsToSlow = 0;
    for (int i = 0; i < 60; i++) {
      int time = 1500 + 450 * i;
      harness.at(
          time,
          events -> {
            harness.requestArrives(events, 2, 0);
            harness.requestArrives(events, 3, 0);
          });
      for (int index = 2; index < 4; index++) {
        int worker = harness.sentTo(index);
        int request = index;
        earlyRequestsToSlow += i < 3 && worker == replicas.first() ? 1 : 0;
        lateRequestsToSlow += i >= 40 && worker == replicas.first() ? 1 : 0;
        harness.at(
            time + (worker == replicas.first() ? 400 : 30 + index),
            events ->
                harness.attemptEnds(
                    events,
                    succeeded(request, worker)
                        .withDuration(worker == replicas.first() ? 400 : 30)
                        .withConcurrency(3)));
      }
    }
    assertThat(earlyRequestsToSlow).isGreaterThanOrEqualTo(3);
    // Of the last 40 requests, fewer than 15 go to the slow worker.
    assertThat(lateRequestsToSlow).isLessThan(15);
  }

  @Test
  void prefersOwnZoneUntilItIsMoreLoaded() {
    TestSettings settings =
        new TestSettings() {
          @Override
          public double crossZonePrice() {
            return 0.02;
          }
        };
    int function = 0;
    PolicyHarness harness = new PolicyHarness(settings);
    PolicyHarness.Replicas replicas = harness.scaleToTwoReplicas(function);
    while (replicas.first() % 2 == replicas.second() % 2) {
      // Both replicas are in the same zone, so try the next function.
      harness = new PolicyHarness(settings);
      replicas = harness.scaleToTwoReplicas(++function);
    }
    int ownZoneWorker = replicas.first() % 2 == 0 ? replicas.first() : replicas.second();
    int finalFunction = function;
    PolicyHarness finalHarness = harness;
    finalHarness.at(1500, events -> finalHarness.requestArrives(events, 2, finalFunction));
    assertThat(finalHarness.sentTo(2)).isEqualTo(ownZoneWorker);
    finalHarness.at(
        1501,
        events -> {
          for (int request = 3; request < 9; request++) {
            finalHarness.requestArrives(events, request, finalFunction);
          }
        });
    assertThat(IntStream.range(3, 9).map(finalHarness::sentTo).boxed().toList())
        .contains(replicas.first(), replicas.second());
  }
}

package switchgap.policy;

import static org.assertj.core.api.Assertions.assertThat;
import static switchgap.policy.AttemptEnd.succeeded;
import static switchgap.policy.PolicyHarness.millis;
import static switchgap.policy.TestEvents.list;
import static switchgap.policy.TestEvents.replicaLoaded;

import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Test;
import switchgap.policy.api.RequestArrival;

/** Target replica counts, and replicas that idle functions keep. */
class ReplicaScalerTest {
  /** The target rises with the concurrency at the replicas and falls when there is none. */
  @Test
  void scalesUpUnderLoadAndUnloadsWhereIdleMemoryIsPriced() throws IOException {
    TestSettings settings = new TestSettings();
    settings.idleMemoryPrice = 0.05;
    PolicyHarness harness = new PolicyHarness(settings);
    harness.at(0, events -> list(events, 4));
    for (int i = 0; i < 6; i++) {
      int request = i;
      harness.at(10 + 150 * i, events -> harness.requestArrives(events, request, 0));
      int primary = harness.firstWorker();
      harness.at(
          90 + 150 * i,
          events ->
              harness.attemptEnds(
                  events, succeeded(request, primary).withDuration(80).withConcurrency(3)));
    }
    harness.until(1100);
    int next = harness.lastLoadedAt();
    harness.at(1300, events -> replicaLoaded(events, next, 0, 200));
    harness.until(17_500);
    harness.assertTrace("target");
  }

  /** The target falls to one replica after an idle timeout below the scale-down threshold. */
  @Test
  void keepsTargetBetweenScaleUpAndScaleDownThresholds() {
    PolicyHarness harness = new PolicyHarness(new TestSettings());
    harness.at(0, events -> list(events, 4));
    int[] targetAfterPhase = new int[3];
    for (int i = 0; i < 2400; i++) {
      int time = 20 + 40 * i;
      int request = i % 50;
      // 4 s of high load, 48 s at a concurrency of 0.2 per slot, 44 s without concurrency
      int phase = i < 100 ? 0 : i < 1300 ? 1 : 2;
      int concurrency = phase == 0 ? 3 : phase == 1 && i % 4 == 0 ? 1 : 0;
      harness.at(time, events -> harness.requestArrives(events, request, 0));
      if (harness.sentTo(request) >= 0) {
        harness.at(
            time + 30,
            events ->
                harness.attemptEnds(
                    events,
                    succeeded(request, harness.sentTo(request))
                        .withDuration(30)
                        .withConcurrency(concurrency)));
      }
      targetAfterPhase[phase] = harness.targetReplicas(0);
    }
    assertThat(targetAfterPhase).containsExactly(2, 2, 1);
  }

  /** There are six workers of 4,000 MB; replicas may use half of the workers and of the memory. */
  @Test
  void limitsTargetToHalfOfWorkersAndOfTheirMemory() {
    for (int memoryMb : new int[] {100, 9000}) {
      PolicyHarness harness = new PolicyHarness(new TestSettings());
      harness.at(0, events -> list(events, 6));
      for (int i = 0; i < 2000; i++) {
        int time = 20 + 40 * i;
        int request = i % 50;
        harness.at(
            time,
            events ->
                events.requestArrived(
                    new RequestArrival(
                        request, 0, 0, 0, 50, millis(time + 2000), null, memoryMb, 2)));
        if (harness.sentTo(request) >= 0) {
          harness.at(
              time + 30,
              events ->
                  harness.attemptEnds(
                      events,
                      succeeded(request, harness.sentTo(request))
                          .withDuration(30)
                          .withConcurrency(30)));
        }
      }
      assertThat(harness.targetReplicas(0)).isEqualTo(memoryMb == 100 ? 3 : 1);
    }
  }

  /**
   * Each of 200 routers sees few requests of a function. They must not all send these to its first
   * replica.
   */
  @Test
  void raisesTargetAfterOneReportAndSpreadsRequestsWithManyRouters() {
    TestSettings settings = new TestSettings();
    settings.routerCount = 200;
    PolicyHarness harness = new PolicyHarness(settings);
    harness.at(0, events -> list(events, 4)).at(10, events -> harness.requestArrives(events, 0, 0));
    int primary = harness.firstWorker();
    harness.at(
        90,
        events ->
            harness.attemptEnds(events, succeeded(0, primary).withDuration(80).withConcurrency(8)));
    for (int i = 1; i < 9; i++) {
      int request = i;
      harness.at(3000 + 500 * i, events -> harness.requestArrives(events, request, 0));
    }
    assertThat(harness.workersSentTo().stream().distinct().count()).isGreaterThan(1);
  }

  /** Has two requests served, then waits for a minute; load commands succeed after 20 ms. */
  private static PolicyHarness afterTwoRequests(TestSettings settings) {
    PolicyHarness harness = new PolicyHarness(settings);
    harness.at(0, events -> list(events, 4)).at(10, events -> harness.requestArrives(events, 0, 0));
    int primary = harness.firstWorker();
    harness.onLoad((worker, function) -> assertThat(worker).isEqualTo(primary));
    harness
        .at(
            60,
            events ->
                harness.attemptEnds(
                    events, succeeded(0, primary).withDuration(50).withConcurrency(0)))
        .at(100, events -> harness.requestArrives(events, 1, 0));
    harness.at(
        150,
        events ->
            harness.attemptEnds(events, succeeded(1, primary).withDuration(50).withConcurrency(0)));
    for (int time = 1000; time <= 60_000; time += 1000) {
      long loads = harness.count("load");
      harness.at(time, events -> events.wakeUp(0));
      if (harness.count("load") > loads) {
        harness.at(time + 20, events -> replicaLoaded(events, primary, 0, 20));
      }
    }
    return harness;
  }

  @Test
  void renewsOneReplicaOfIdleFunctionForFourIdleTimeouts() {
    PolicyHarness harness = afterTwoRequests(new TestSettings());
    // One renewal every 7 s until 40 s after the last request.
    assertThat(harness.count("load")).isEqualTo(5);
    assertThat(harness.count("release function")).isEqualTo(1);
  }

  @Test
  void renewsNoReplicaWithQuotaOrMemoryPriceOrManyRoutersOrAfterOneRequest() {
    TestSettings withQuota = new TestSettings();
    withQuota.loadQuotaWindow = millis(5000);
    withQuota.loadQuotaBase = 3;
    TestSettings withMemoryPrice = new TestSettings();
    withMemoryPrice.idleMemoryPrice = 0.05;
    TestSettings withManyRouters = new TestSettings();
    withManyRouters.routerCount = 40;
    for (TestSettings settings : List.of(withQuota, withMemoryPrice, withManyRouters)) {
      assertThat(afterTwoRequests(settings).count("load")).isZero();
    }
    PolicyHarness harness = new PolicyHarness(new TestSettings());
    harness.at(0, events -> list(events, 4)).at(10, events -> harness.requestArrives(events, 0, 0));
    int primary = harness.firstWorker();
    harness
        .at(
            60,
            events ->
                harness.attemptEnds(
                    events, succeeded(0, primary).withDuration(50).withConcurrency(0)))
        .until(30_000);
    assertThat(harness.count("load")).isZero();
  }
}

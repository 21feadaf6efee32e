package switchgap.policy;

import static org.assertj.core.api.Assertions.assertThat;
import static switchgap.policy.AttemptEnd.succeeded;
import static switchgap.policy.PolicyHarness.millis;
import static switchgap.policy.TestEvents.change;
import static switchgap.policy.TestEvents.list;
import static switchgap.policy.TestEvents.listOneStartedAt;
import static switchgap.policy.TestEvents.replicaLoaded;

import org.junit.jupiter.api.Test;
import switchgap.policy.api.WorkerState;

/** Workers that the endpoint list reports as draining, gone or restarted. */
class EndpointListTest {
  @Test
  void sendsNothingToDrainingWorkerFromTheTickOfItsUpdate() {
    PolicyHarness harness = new PolicyHarness(new TestSettings());
    harness.at(0, events -> list(events, 3)).at(10, events -> harness.requestArrives(events, 0, 0));
    int primary = harness.firstWorker();
    harness.at(
        100,
        events ->
            harness.attemptEnds(events, succeeded(0, primary).withDuration(90).withConcurrency(0)));
    harness
        .at(
            110,
            events -> {
              change(events, primary, WorkerState.DRAINING, null);
              harness.requestArrives(events, 1, 0);
            })
        .until(1500);
    assertThat(
            harness
                .trace()
                .lines()
                .filter(
                    line ->
                        line.endsWith("at worker " + primary)
                            || line.contains("worker " + primary + " ")))
        .allMatch(line -> Integer.parseInt(line.split(" ")[0]) < 110);
    assertThat(harness.count("send")).isGreaterThan(1);
  }

  @Test
  void releasesGoneWorkersAndIdleFunctions() {
    PolicyHarness harness = new PolicyHarness(new TestSettings());
    harness.at(0, events -> list(events, 3)).at(10, events -> harness.requestArrives(events, 0, 0));
    int primary = harness.firstWorker();
    harness.at(
        90,
        events ->
            harness.attemptEnds(events, succeeded(0, primary).withDuration(80).withConcurrency(0)));
    harness.at(100, events -> change(events, primary, WorkerState.GONE, null)).until(1100);
    int next = harness.lastLoadedAt();
    harness.at(1200, events -> replicaLoaded(events, next, 0, 200)).until(31_000);
    assertThat(harness.trace())
        .contains("release request 0", "release worker " + primary, "release function 0");
  }

  /** After the warm-up, other routers may have loaded any function there. */
  @Test
  void presumesWorkerEmptyOnlyWhileItWarmsUp() {
    TestSettings settings = new TestSettings();
    settings.routerCount = 200;
    PolicyHarness harness = new PolicyHarness(settings);
    harness
        .at(
            0,
            events -> {
              listOneStartedAt(events, millis(0));
            })
        .until(11_000)
        .at(3_600_000, events -> harness.requestArrives(events, 0, 0));
    // The replica state is unknown, since another router may have loaded it.
    assertThat(harness.count("send")).isEqualTo(1);
    assertThat(harness.count("load")).isZero();
  }

  @Test
  void presumesRestartedWorkerEmptyForNewFunctions() {
    TestSettings settings = new TestSettings();
    settings.routerCount = 200;
    PolicyHarness harness = new PolicyHarness(settings);
    harness
        .at(0, events -> list(events, 1))
        .at(60_000, events -> change(events, 0, WorkerState.READY, millis(60_000)));
    harness.at(65_000, events -> harness.requestArrives(events, 0, 0));
    assertThat(harness.count("send")).isZero();
    assertThat(harness.count("load")).isEqualTo(1);
  }
}

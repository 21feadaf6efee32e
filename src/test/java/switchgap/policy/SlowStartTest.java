package switchgap.policy;

import static org.assertj.core.api.Assertions.assertThat;
import static switchgap.policy.PolicyHarness.listOneStartedAt;
import static switchgap.policy.PolicyHarness.millis;

import org.junit.jupiter.api.Test;

/** Rule 4 at one router: what a worker that warms up is sent. */
class SlowStartTest {
  /** All routers share one budget; attempts that miss a replica count, too. */
  @Test
  void limitsAttemptsAtWorkerInSlowStart() {
    TestSettings settings = new TestSettings();
    settings.loadsOnDemand = true;
    settings.routerCount = 4;
    PolicyHarness harness = new PolicyHarness(settings);
    harness.at(
        1000,
        events -> {
          listOneStartedAt(events, millis(1000));
        });
    for (int i = 0; i < 50; i++) {
      int request = i;
      harness.at(1010 + 20 * i, events -> harness.requestArrives(events, request, 0));
    }
    // A warm worker bears ten requests a second: 2 x 0.2 x 10 / 4 routers is one a second.
    assertThat(harness.count("send")).isBetween(1L, 2L);
  }

  /**
   * In one slot of the rotation several of 200 routers may send one request each: with one a slot,
   * new workers would starve.
   */
  @Test
  void rotatesManyRoutersThroughSlotsOfSlowStart() {
    long sent = 0;
    for (int routerIndex = 0; routerIndex < 200; routerIndex++) {
      TestSettings settings = new TestSettings();
      settings.loadsOnDemand = true;
      settings.routerCount = 200;
      settings.routerIndex = routerIndex;
      PolicyHarness harness = new PolicyHarness(settings);
      harness.at(
          1000,
          events -> {
            listOneStartedAt(events, millis(1000));
            harness.requestArrives(events, 0, 0);
            harness.requestArrives(events, 1, 0);
          });
      assertThat(harness.count("send")).isLessThanOrEqualTo(1);
      sent += harness.count("send");
    }
    assertThat(sent).isBetween(2L, 40L);
  }
}

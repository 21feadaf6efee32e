package switchgap.policy;

import static org.assertj.core.api.Assertions.assertThat;
import static switchgap.policy.PolicyHarness.millis;
import static switchgap.policy.TestEvents.listOneStartedAt;

import org.junit.jupiter.api.Test;

/** Slow start at a single router: the limit of attempts at a worker that is warming up. */
class SlowStartTest {
  /** Each router uses only its share of the budget; attempts without a loaded replica count too. */
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
    // Full rate 10/s, capacity share 0.2, overload multiple 2: 2 x 0.2 x 10 / 4 routers = 1/s.
    assertThat(harness.count("send")).isBetween(1L, 2L);
  }

  /**
   * Several of 200 routers may send a request in the same slot of the rotation. If only one could,
   * new workers would starve.
   */
  @Test
  void manyRoutersTakeTurnsInSlowStart() {
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

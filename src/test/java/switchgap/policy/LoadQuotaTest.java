package switchgap.policy;

import static org.assertj.core.api.Assertions.assertThat;
import static switchgap.policy.AttemptEnd.notLoaded;
import static switchgap.policy.PolicyHarness.millis;
import static switchgap.policy.TestEvents.list;
import static switchgap.policy.TestEvents.replicaLoaded;

import org.junit.jupiter.api.Test;

/** The quota of load commands. */
class LoadQuotaTest {
  @Test
  void keepsLoadCommandsWithinQuota() {
    TestSettings settings = new TestSettings();
    settings.loadQuotaBase = 2;
    settings.loadQuotaPerRequest = 0.25;
    settings.loadQuotaWindow = millis(5000);
    PolicyHarness harness = new PolicyHarness(settings);
    harness.at(0, events -> list(events, 4));
    for (int i = 0; i < 12; i++) {
      int request = i;
      harness.at(10 + 50 * i, events -> harness.requestArrives(events, request, request));
      int worker = harness.sentTo(request);
      if (worker >= 0) {
        harness.at(
            15 + 50 * i,
            events -> harness.attemptEnds(events, notLoaded(request, worker).withDuration(2)));
        harness.at(20 + 50 * i, events -> replicaLoaded(events, worker, request, 5));
      }
      assertThat((double) harness.count("load")).isLessThanOrEqualTo(2 + 0.25 * (i + 1));
    }
    assertThat(harness.count("load")).isGreaterThan(2);
  }

  /** Arrivals older than the window are dropped even if no load command reads their count. */
  @Test
  void dropsOldArrivalsWhenNoLoadIsNeeded() {
    TestSettings settings = new TestSettings();
    settings.loadQuotaBase = 3;
    settings.loadQuotaPerRequest = 0.15;
    settings.loadQuotaWindow = millis(5000);
    PolicyHarness harness = new PolicyHarness(settings);
    RequestSeries series = new RequestSeries(harness);
    int time = series.run(100, 1000, 20, 10);
    long before = harness.reachableElements();
    series.run(time, 20_000, 20, 10);
    assertThat(harness.reachableElements()).isLessThan(before + 200);
  }
}

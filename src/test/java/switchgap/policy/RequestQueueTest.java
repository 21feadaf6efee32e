package switchgap.policy;

import static org.assertj.core.api.Assertions.assertThat;
import static switchgap.policy.AttemptEnd.notLoaded;
import static switchgap.policy.AttemptEnd.succeeded;
import static switchgap.policy.PolicyHarness.millis;
import static switchgap.policy.TestEvents.list;

import java.util.List;
import org.junit.jupiter.api.Test;
import switchgap.policy.api.RequestArrival;

/** The order in which queued requests are sent, and the wake-ups for the queue. */
class RequestQueueTest {
  @Test
  void queuesRequestsOfTenantOverQuotaBehindOthers() {
    TestSettings settings =
        new TestSettings() {
          @Override
          public int tenantCount() {
            return 2;
          }

          @Override
          public double tenantQuota(int tenant) {
            return 10;
          }
        };
    PolicyHarness harness = new PolicyHarness(settings);
    harness
        .at(0, events -> list(events, 1))
        .at(10, events -> harness.requestArrives(events, 0, 0))
        .at(
            60,
            events ->
                harness.attemptEnds(events, succeeded(0, 0).withDuration(50).withConcurrency(0)));
    for (int i = 0; i < 40; i++) {
      int time = 100 + 10 * i;
      harness.at(time, events -> harness.requestArrives(events, 1, 0));
      if (harness.sentTo(1) >= 0) {
        harness.at(
            time + 8,
            events ->
                harness.attemptEnds(events, succeeded(1, 0).withDuration(8).withConcurrency(0)));
      }
    }
    harness.at(
        600,
        events -> {
          for (int request = 2; request < 40; request++) {
            harness.requestArrives(events, request, 0);
          }
        });
    harness.at(
        610,
        events -> {
          for (int request = 40; request < 43; request++) {
            events.requestArrived(
                new RequestArrival(request, 0, 1, 0, 50, millis(2610), null, 100, 2));
          }
        });
    assertThat(harness.sentTo(39)).isEqualTo(-1);
    assertThat(harness.sentTo(40)).isEqualTo(-1);
    harness.at(
        640,
        events -> {
          for (int request = 2; request < 5; request++) {
            harness.attemptEnds(events, succeeded(request, 0).withDuration(40).withConcurrency(3));
          }
        });
    assertThat(List.of(harness.sentTo(40), harness.sentTo(41), harness.sentTo(42))).containsOnly(0);
  }

  /**
   * Guards against a lost wake-up, after which queued requests would be sent only when other events
   * arrive.
   */
  @Test
  void schedulesWakeUpAgainWhenOneIsLost() {
    PolicyHarness harness = new PolicyHarness(new TestSettings());
    harness.at(0, events -> list(events, 1)); // schedules a wake-up, which is never delivered
    int scheduled = harness.scheduledWakeUps();
    harness
        .at(5000, events -> harness.requestArrives(events, 0, 0))
        .at(5002, events -> harness.attemptEnds(events, notLoaded(0, 0).withDuration(2)));
    // Now the request is queued.
    assertThat(harness.scheduledWakeUps()).isGreaterThan(scheduled);
    int before = harness.scheduledWakeUps();
    // The overdue wake-up is delivered after all, twice.
    harness.at(5500, events -> events.wakeUp(1)).at(5520, events -> events.wakeUp(1));
    assertThat(harness.scheduledWakeUps()).isBetween(before, before + 2);
  }
}

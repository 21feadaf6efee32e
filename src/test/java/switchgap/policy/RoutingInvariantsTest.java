package switchgap.policy;

import static org.assertj.core.api.Assertions.assertThat;
import static switchgap.policy.PolicyHarness.millis;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import switchgap.policy.api.DeduplicationScope;
import switchgap.policy.api.Idempotency;

/**
 * The invariants of the policy under random events, and the release of the state of requests,
 * functions and workers that have ended.
 */
class RoutingInvariantsTest {
  private static TestSettings settingsWithQuota() {
    TestSettings settings = new TestSettings();
    settings.loadQuotaBase = 3;
    settings.loadQuotaPerRequest = 0.15;
    settings.loadQuotaWindow = millis(5000);
    return settings;
  }

  @ParameterizedTest
  @CsvSource({
    "IDEMPOTENT,ALL,2,false",
    "IDEMPOTENT,ALL,2,true",
    "NON_IDEMPOTENT,ALL,2,false",
    "NON_IDEMPOTENT,ALL,200,true",
    "IDEMPOTENT_WITH_KEY,ZONE,2,false",
    "IDEMPOTENT_WITH_KEY,CELL,2,true",
    "IDEMPOTENT_WITH_KEY,ALL,200,false",
    "IDEMPOTENT,ALL,200,true"
  })
  void maintainsInvariantsUnderRandomEvents(
      Idempotency idempotency, DeduplicationScope scope, int routers, boolean loadsOnDemand) {
    TestSettings settings = settingsWithQuota();
    settings.idempotency = idempotency;
    settings.deduplicationScope = scope;
    settings.routerCount = routers;
    settings.loadsOnDemand = loadsOnDemand;
    settings.idleMemoryPrice = 0.05;
    RandomFleet fleet = new RandomFleet(settings, 1);
    for (int seed = 1; seed <= 6; seed++) {
      fleet.run(seed, new RandomFleet.Load(60, 15, 3000, 12));
      fleet.assertNoStateIsLeft();
    }
    assertThat(fleet.attempts()).isGreaterThan(1500);
    assertThat(fleet.loadCommands()).isGreaterThan(20);
    if (idempotency != Idempotency.NON_IDEMPOTENT) {
      assertThat(fleet.retries()).isGreaterThan(100);
    }
  }

  /** Requests, functions and workers arrive and leave for three simulated days. */
  @Test
  void stateDoesNotGrowOverThreeDays() {
    RandomFleet fleet = new RandomFleet(settingsWithQuota(), 0);
    long[] elements = new long[3];
    for (int day = 0; day < 3; day++) {
      fleet.run(day, new RandomFleet.Load(24 * 3600, 5000, 60_000, 40 + 40 * day));
      fleet.assertNoStateIsLeft();
      elements[day] = fleet.reachableElements();
    }
    assertThat(elements[2]).isLessThan(elements[0] + 200);
  }
}

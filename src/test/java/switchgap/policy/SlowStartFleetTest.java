package switchgap.policy;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Slow start over a whole fleet: in any overload window, all routers together send at most N + 2
 * sqrt(N) + 2 attempts (N + 3 sqrt(N) + 3 if N is below 30) to a worker that is warming up, even if
 * routers restart. N is the mean number of attempts that the settings allow.
 */
class SlowStartFleetTest {
  @ParameterizedTest(
      name = "{0} routers, requests of {1} ms, {2} at a time, load {3}, restarts {4}")
  @CsvSource({
    "1,100,4,3,true",
    "2,100,4,3,false",
    "5,300,2,3,true",
    "20,300,2,3,true",
    "60,100,4,0.8,false",
    "60,300,2,3,false",
    "100,100,4,0.8,true",
    "100,100,4,3,true",
    "100,300,2,3,false",
    "100,300,1,3,true",
    "100,100,1,3,false",
    "100,20,4,3,true"
  })
  void allRoutersTogetherStayWithinOverloadBudget(
      int routers, int workMillis, int slots, double load, boolean restarts) {
    SlowStartFleet fleet = new SlowStartFleet(routers, workMillis, slots);
    fleet.run(load, restarts);
    SlowStartBudget budget = fleet.budget();
    assertThat(budget.attempts()).as("number of attempts at the new worker").isGreaterThan(5);
    assertThat(budget.maxShare())
        .as(
            "highest share of the overload budget that was used, with %d attempts",
            budget.attempts())
        .isLessThanOrEqualTo(1);
  }
}

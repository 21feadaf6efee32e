package switchgap.testbed.emulator;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Tests the weights requested and earned, and the worst window of a run. */
class ServiceTallyTest {
  private static final long MICROS_PER_SECOND = 1_000_000;
  private static final RequestClassProfile PROFILE =
      new RequestClassProfile(
          "status-refresh", MICROS_PER_SECOND, 2 * MICROS_PER_SECOND, 4, 0.25, true, false);
  private final ServiceTally tally = new ServiceTally(List.of(PROFILE));

  private ClientRequest arrive(long arrivedAtMicros) {
    FunctionModel function = new FunctionModel("f", 0, 1, 1, 1, 1, 0, 0, 0);
    ClientRequest request =
        new ClientRequest(
            new ClientRequest.Arrival("j0", function, "tenant", 0, arrivedAtMicros),
            PROFILE,
            0,
            new SplittableRandom(1));
    tally.requestArrived(request);
    return request;
  }

  @Test
  void earnsLateShareOfWeightWhenResponseMissesObjective() {
    tally.begin(0, 10 * MICROS_PER_SECOND);

    assertThat(tally.requestSucceeded(arrive(0), MICROS_PER_SECOND)).isEqualTo(4);
    assertThat(tally.requestSucceeded(arrive(0), MICROS_PER_SECOND + 1)).isEqualTo(1);

    assertThat(tally.service()).isEqualTo(5 / 8.0);
    assertThat(tally.byTenant().get("tenant")).isEqualTo(new ServiceWeights(8, 5));
    assertThat(tally.byRequestClass().get("status-refresh").succeededLate()).isEqualTo(1);
  }

  @Test
  void worstWindowHasLowestServiceOfTheRun() {
    tally.begin(0, 4 * MICROS_PER_SECOND);
    for (int second = 0; second < 4; second++) {
      ClientRequest request = arrive(second * MICROS_PER_SECOND);
      if (second != 2) {
        tally.requestSucceeded(request, request.arrivedAt);
      }
    }

    assertThat(tally.worstWindow(1)).isZero();
    assertThat(tally.worstWindow(2)).isEqualTo(0.5);
    // A window longer than the run is shortened to the run.
    assertThat(tally.worstWindow(10)).isEqualTo(0.75);
  }

  @Test
  void worstWindowIsOneWhenTheRunIsShorterThanASecond() {
    tally.begin(0, MICROS_PER_SECOND / 2);

    arrive(0);

    assertThat(tally.worstWindow(10)).isEqualTo(1);
  }
}

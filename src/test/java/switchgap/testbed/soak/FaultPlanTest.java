package switchgap.testbed.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** A seed determines the faults of a run. */
class FaultPlanTest {
  @Test
  void drawsSameFaultsForSameSeedAndLeavesOutTypesOnRequest() {
    List<PlannedFault> all = FaultPlan.draw(4, 20, Set.of());
    SoakFaultType leftOut = all.get(0).type();

    List<PlannedFault> again = FaultPlan.draw(4, 20, Set.of());
    List<PlannedFault> others = FaultPlan.draw(4, 20, Set.of(leftOut));

    assertThat(again).isEqualTo(all);
    assertThat(others).isEqualTo(all.stream().filter(fault -> fault.type() != leftOut).toList());
  }

  /** A seed in an old report is played again as it was. */
  @Test
  void drawsSameFaultsAsEarlierVersions() {
    List<PlannedFault> faults = FaultPlan.draw(2, 10, Set.of());

    assertThat(faults).hasSize(16);
    assertThat(faults.subList(0, 4))
        .extracting(PlannedFault::toString)
        .containsExactly(
            "WORKER_ACCEPTS_LATE at 203 ms for 2755 ms",
            "SOCKET_FAILS at 945 ms for 1206 ms",
            "READ_INTERRUPTED at 1049 ms for 808 ms",
            "WALL_CLOCK_STEP at 1320 ms for 2566 ms");
  }
}

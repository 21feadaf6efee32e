package switchgap.testbed.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** A seed determines the faults of a run, so that a failed run can be reproduced. */
class FaultPlanTest {
  @Test
  void drawsSameFaultsForSameSeedAndOmitsExcludedTypes() {
    List<PlannedFault> allFaults = FaultPlan.drawInitialTypes(4, 20, Set.of());
    SoakFaultType excludedType = allFaults.get(0).type();

    List<PlannedFault> sameSeedFaults = FaultPlan.drawInitialTypes(4, 20, Set.of());
    List<PlannedFault> filteredFaults = FaultPlan.drawInitialTypes(4, 20, Set.of(excludedType));

    assertThat(sameSeedFaults).isEqualTo(allFaults);
    assertThat(filteredFaults)
        .isEqualTo(allFaults.stream().filter(fault -> fault.type() != excludedType).toList());
  }

  /** A seed from an old report must reproduce the faults of that run. */
  @Test
  void drawsSameFaultsAsEarlierVersions() {
    List<PlannedFault> faults = FaultPlan.drawInitialTypes(2, 10, Set.of());

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

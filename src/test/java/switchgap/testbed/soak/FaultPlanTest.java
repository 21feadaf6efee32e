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
}

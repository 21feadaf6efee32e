package switchgap.testbed.emulator;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ColdStartTest {
  private static ColdStart coldStart(long warmUpTime) {
    WorkerHardware hardware =
        new WorkerHardware(
            new WorkerHardware.Compute(4, 1, 8, 8),
            new WorkerHardware.ReplicaLimits(1000, 1, 1_000_000, true, false, 0.5, 0),
            new WorkerHardware.WarmUp(0.25, warmUpTime, 2, 1_000_000));
    return new ColdStart(hardware, 5000, true);
  }

  /** A share that is no number had the worker's next step due at once, for ever. */
  @Test
  void aWorkerWithoutAWarmUpHasItsWholeCapacityFromItsStart() {
    assertThat(coldStart(0).capacityShare(5000)).isEqualTo(1);
  }

  @Test
  void theCapacityGrowsLinearlyToTheWhole() {
    ColdStart start = coldStart(1000);
    assertThat(start.capacityShare(5000)).isEqualTo(0.25);
    assertThat(start.capacityShare(5500)).isEqualTo(0.625);
    assertThat(start.capacityShare(6000)).isEqualTo(1);
    assertThat(start.capacityShare(9000)).isEqualTo(1);
  }
}

package switchgap.testbed.emulator;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests the capacity of a worker after a cold start. */
class ColdStartTest {
  private static ColdStart coldStart(long warmUpMicros) {
    WorkerHardware hardware =
        new WorkerHardware(
            new WorkerHardware.Compute(4, 1, 8, 8),
            new WorkerHardware.ReplicaLimits(1000, 1, 1_000_000, true, false, 0.5, 0),
            new WorkerHardware.WarmUp(0.25, warmUpMicros, 2, 1_000_000));
    return new ColdStart(hardware, 5000, true);
  }

  /**
   * Guards against a NaN share from 0 / 0, with which each update of the running executions would
   * schedule the next one immediately, in an endless loop.
   */
  @Test
  void hasFullCapacityAtOnceWithoutWarmUp() {
    assertThat(coldStart(0).capacityShare(5000)).isEqualTo(1);
  }

  @Test
  void growsLinearlyToFullCapacity() {
    ColdStart start = coldStart(1000);
    assertThat(start.capacityShare(5000)).isEqualTo(0.25);
    assertThat(start.capacityShare(5500)).isEqualTo(0.625);
    assertThat(start.capacityShare(6000)).isEqualTo(1);
    assertThat(start.capacityShare(9000)).isEqualTo(1);
  }
}

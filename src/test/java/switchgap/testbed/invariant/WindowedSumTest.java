package switchgap.testbed.invariant;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** The window contains the samples that are at most the maximum age older than the latest one. */
class WindowedSumTest {
  private final WindowedSum window = new WindowedSum(10);

  @Test
  void keepsSampleOfExactlyMaximumAge() {
    window.add(0, 1.5);
    window.add(10, 2);

    assertThat(window.sum()).isEqualTo(3.5);
    assertThat(window.count()).isEqualTo(2);
  }

  @Test
  void dropsSampleOlderThanMaximumAge() {
    window.add(0, 1.5);
    window.add(11, 2);

    assertThat(window.sum()).isEqualTo(2);
    assertThat(window.count()).isEqualTo(1);
  }
}

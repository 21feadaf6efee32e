package switchgap.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Elapsed time excludes stalls of the process. */
class StallHistoryTest {
  private final StallHistory stalls = new StallHistory();

  private static Duration millis(long millis) {
    return Duration.ofMillis(millis);
  }

  private Duration elapsed(long startMillis, long nowMillis) {
    return stalls.elapsedExcludingStalls(millis(startMillis), millis(nowMillis));
  }

  @Test
  void excludesStallsFromElapsedTimeThatTheyOverlap() {
    stalls.add(millis(3000), millis(2000));
    stalls.add(millis(3200), Duration.ZERO);
    assertThat(elapsed(500, 3500)).isEqualTo(millis(1000));
    assertThat(elapsed(2500, 3500))
        .as("elapsed time since a start during the stall")
        .isEqualTo(millis(500));
    assertThat(elapsed(3100, 3500))
        .as("elapsed time since a start after the stall")
        .isEqualTo(millis(400));
  }

  @Test
  void dropsOldestStallBeyondCapacity() {
    for (int i = 1; i <= 1000; i++) {
      stalls.add(millis(200L * i), millis(150));
    }
    assertThat(elapsed(0, 200_000)).isEqualTo(millis(200_000 - 64 * 150));
  }
}

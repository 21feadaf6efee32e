package switchgap.protocol.thrift;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** The time from which the timeouts of requests count, if a message is read in several reads. */
class ArrivalTimesTest {
  private static final Duration STALL_BEGIN = Duration.ofMillis(100);
  private static final Duration STALL_END = Duration.ofMillis(500);
  private static final Duration LATER = Duration.ofMillis(800);

  private final ArrivalTimes arrivals = new ArrivalTimes();

  private Duration earliest(Duration receivedAt, boolean isReadEmpty) {
    return arrivals.earliest(receivedAt, Duration.ZERO, isReadEmpty, true);
  }

  /**
   * Guards against a timeout that is too long: a message arrives while the process stands still,
   * and only its first read is known to have waited.
   */
  @Test
  void countsAllReadsOfMessageFromTheArrivalOfTheFirst() {
    assertThat(earliest(STALL_BEGIN, false)).isEqualTo(STALL_BEGIN);
    assertThat(earliest(STALL_END, false)).isEqualTo(STALL_BEGIN);
    assertThat(earliest(STALL_END, true)).isEqualTo(STALL_BEGIN);
  }

  @Test
  void countsFromTheReadOnceTheSocketHasBeenReadEmpty() {
    assertThat(earliest(STALL_BEGIN, true)).isEqualTo(STALL_BEGIN);
    assertThat(earliest(LATER, true)).isEqualTo(LATER);
  }
}

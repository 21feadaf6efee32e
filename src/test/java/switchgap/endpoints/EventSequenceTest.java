package switchgap.endpoints;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Which events of the stream are delivered, depending on their sequence numbers. */
class EventSequenceTest {
  private final EventSequence sequence = new EventSequence(5);

  private EventSequence.Verdict advance(long number, boolean complete) {
    return sequence.advance(new EndpointListEvent(number, complete, List.of()));
  }

  @Test
  void deliversNextEventOnce() {
    assertThat(advance(6, false)).isEqualTo(EventSequence.Verdict.DELIVER);
    assertThat(sequence.lastSequence()).isEqualTo(6);
    assertThat(advance(6, false)).isEqualTo(EventSequence.Verdict.DUPLICATE);
    assertThat(advance(5, true)).isEqualTo(EventSequence.Verdict.DUPLICATE);
  }

  @Test
  void reportsGapOnceForTheSameEvent() {
    assertThat(advance(8, false)).isEqualTo(EventSequence.Verdict.GAP);
    assertThat(sequence.lastSequence()).isEqualTo(5);
    assertThat(advance(8, false)).isEqualTo(EventSequence.Verdict.DELIVER);
    assertThat(sequence.lastSequence()).isEqualTo(8);
  }

  @Test
  void deliversCompleteListWithLastSequenceNumberAndAfterGap() {
    assertThat(advance(5, true)).isEqualTo(EventSequence.Verdict.DELIVER);
    assertThat(advance(9, true)).isEqualTo(EventSequence.Verdict.DELIVER);
    assertThat(sequence.lastSequence()).isEqualTo(9);
  }
}

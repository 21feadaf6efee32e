package switchgap.simulator;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the code of each event type. */
class EventTypeTest {
  @Test
  void mapsCodesOneToTwelveToTypesInOrder() {
    List<EventType> types = new ArrayList<>();
    for (int code = 1; code <= 12; code++) {
      types.add(EventType.ofCode(code));
    }
    assertThat(types)
        .containsExactly(
            EventType.START_ROUTER,
            EventType.PEER_MESSAGE,
            EventType.CLIENT_DISCONNECTED,
            EventType.PROBE_ENDED,
            EventType.STOP_ROUTER,
            EventType.ENDPOINT_LIST,
            EventType.RESPONSE_STARTED,
            EventType.ATTEMPT_ENDED,
            EventType.DEFINE_LIST,
            EventType.WAKE_UP,
            EventType.LOAD_COMMAND_ENDED,
            EventType.REQUEST_ARRIVED);
  }

  @Test
  void returnsNullForUnknownCodes() {
    assertThat(EventType.ofCode(0)).isNull();
    assertThat(EventType.ofCode(13)).isNull();
    assertThat(EventType.ofCode(255)).isNull();
  }
}

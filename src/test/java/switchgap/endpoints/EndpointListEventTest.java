package switchgap.endpoints;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import switchgap.policy.api.WorkerState;
import switchgap.router.EndpointUpdate;
import switchgap.server.platform.EventStreamTestServer;

/** The wire format of an event of the event stream. */
class EndpointListEventTest {
  private static EndpointListEvent parse(String text) throws InvalidEndpointListException {
    return EndpointListEvent.parse(text, EventStreamClientFixture.NAMES);
  }

  @Test
  void readsWorkerOfEvent() throws Exception {
    String worker = EventStreamTestServer.endpoint("s-1", "10.1.0.9:10080", "SERVING", 1500);
    EndpointListEvent event = parse(EventStreamTestServer.endpointListEvent(41, true, worker));
    assertThat(event.sequence()).isEqualTo(41);
    assertThat(event.complete()).isTrue();
    assertThat(event.updates())
        .containsExactly(
            new EndpointUpdate(
                "s-1", "10.1.0.9", 10080, WorkerState.READY, 0, 2, 0, 4, Duration.ofMillis(500)));
    assertThat(parse("{\"n\":5,\"news\":{}}").updates()).isNull();
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "{",
        "[]",
        "{}",
        "{\"n\":1,\"members\":{}}",
        "{\"n\":1,\"members\":{\"targets\":[3]}}",
        "{\"n\":1,\"members\":{\"targets\":[{\"uid\":\"a\",\"state\":\"ODD\"}]}}",
        "{\"n\":1} more",
        "{\"n\":1,\"members\":{\"targets\":[{\"uid\":\"a\",\"endpoint\":\"nowhere\","
            + "\"state\":\"SERVING\"}]}}"
      })
  void rejectsInvalidEvent(String text) {
    assertThatThrownBy(() -> parse(text)).isInstanceOf(InvalidEndpointListException.class);
  }
}

package switchgap.testbed.emulator;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Tests the words of client outcomes, which are part of the routers' API and of the log format. */
class ClientOutcomeTest {
  @Test
  void usesWordsOfRouterHeader() {
    assertThat(Stream.of(ClientOutcome.values()).map(ClientOutcome::word))
        .containsExactly(
            "finished", "pushed-back", "killed", "refused", "gave-up", "broken", "unreachable");
  }

  @Test
  void parsesKnownWordsAndMapsUnknownOnesToLostConnection() {
    for (ClientOutcome outcome : ClientOutcome.values()) {
      assertThat(ClientOutcome.of(outcome.word())).isEqualTo(outcome);
    }
    assertThat(ClientOutcome.of("unheard-of")).isEqualTo(ClientOutcome.CONNECTION_LOST);
  }

  @Test
  void isFinalOnlyForResponsesOfARouter() {
    assertThat(Stream.of(ClientOutcome.values()).filter(ClientOutcome::isFinal))
        .containsExactly(
            ClientOutcome.SUCCEEDED,
            ClientOutcome.REJECTED,
            ClientOutcome.FAILED,
            ClientOutcome.REFUSED);
  }
}

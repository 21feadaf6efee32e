package switchgap.testbed.emulator;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** The words of outcomes are those of the routers' response header and of the logs. */
class ClientOutcomeTest {
  @Test
  void hasTheWordsOfTheWire() {
    assertThat(Stream.of(ClientOutcome.values()).map(ClientOutcome::word))
        .containsExactly(
            "finished", "pushed-back", "killed", "refused", "gave-up", "broken", "unreachable");
  }

  @Test
  void findsTheOutcomeOfAWord() {
    for (ClientOutcome outcome : ClientOutcome.values()) {
      assertThat(ClientOutcome.of(outcome.word())).isEqualTo(outcome);
    }
    assertThat(ClientOutcome.of("unheard-of")).isEqualTo(ClientOutcome.CONNECTION_LOST);
  }

  @Test
  void onlyResponsesOfARouterAreFinal() {
    assertThat(Stream.of(ClientOutcome.values()).filter(ClientOutcome::isFinal))
        .containsExactly(
            ClientOutcome.SUCCEEDED,
            ClientOutcome.REJECTED,
            ClientOutcome.FAILED,
            ClientOutcome.REFUSED);
  }
}

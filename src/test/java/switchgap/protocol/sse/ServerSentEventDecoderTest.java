package switchgap.protocol.sse;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Fields, line ends, bounds and splits of a stream of server-sent events. */
class ServerSentEventDecoderTest {
  private static final int MAX_BYTES = 20;

  private final ServerSentEventDecoder decoder = new ServerSentEventDecoder(MAX_BYTES);
  private final List<String> events = new ArrayList<>();

  private boolean take(String text) {
    return decoder.take(
        text.getBytes(StandardCharsets.UTF_8), (id, data) -> events.add(id + "|" + data));
  }

  @Test
  void anEventCountsOnceItsBlankLineHasCome() {
    assertThat(take("id: 4\ndata: one")).isTrue();
    assertThat(take("\n")).isTrue();
    assertThat(events).isEmpty();
    assertThat(take("\n")).isTrue();
    assertThat(events).containsExactly("4|one");
  }

  @Test
  void anIdCountsForItsOwnEventOnly() {
    take("id:4\ndata:one\n\ndata:two\n\n");
    assertThat(events).containsExactly("4|one", "null|two");
  }

  @Test
  void dataOfSeveralLinesIsJoined() {
    take("data: one\ndata:  two\ndata\n\n");
    assertThat(events).containsExactly("null|one\n two\n");
  }

  @Test
  void allLineEndsCountOnceAlsoWhenSplit() {
    take("data:a\r");
    take("\n\r");
    take("\ndata:b\r\rdata:c\n\n");
    assertThat(events).containsExactly("null|a", "null|b", "null|c");
    assertThat(decoder.lines()).isEqualTo(6);
  }

  @Test
  void commentsAndUnknownFieldsAreCountedAsLinesOnly() {
    take(": comment\nevent: x\nretry\n\n");
    assertThat(events).isEmpty();
    assertThat(decoder.lines()).isEqualTo(4);
  }

  @Test
  void everySplitGivesTheSameEvents() {
    String stream = "id:1\r\ndata:\u00e9t\u00e9\r\n\r\n:\n\ndata:b\rid\r\r";
    for (byte single : stream.getBytes(StandardCharsets.UTF_8)) {
      decoder.take(new byte[] {single}, (id, data) -> events.add(id + "|" + data));
    }
    assertThat(events).containsExactly("1|\u00e9t\u00e9", "|b");
  }

  @Test
  void aLineOrDataBeyondTheBoundEndsTheStream() {
    assertThat(take("x".repeat(MAX_BYTES))).isTrue();
    assertThat(take("x")).isFalse();
    ServerSentEventDecoder ofData = new ServerSentEventDecoder(MAX_BYTES);
    byte[] line = "data:123456789\n".getBytes(StandardCharsets.UTF_8);
    assertThat(ofData.take(line, (id, data) -> {})).isTrue();
    assertThat(ofData.take(line, (id, data) -> {})).isTrue();
    assertThat(ofData.take(line, (id, data) -> {})).isFalse();
  }
}

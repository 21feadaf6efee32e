package switchgap.protocol.sse;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Decoding of fields, line ends and split input, and the limits on a line and an event. */
class ServerSentEventDecoderTest {
  private static final int MAX_BYTES = 20;

  private final ServerSentEventDecoder decoder = new ServerSentEventDecoder(MAX_BYTES);
  private final List<String> events = new ArrayList<>();

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  private boolean decode(String text) {
    return decoder.decode(bytes(text), (id, data) -> events.add(id + "|" + data));
  }

  @Test
  void completesEventAtBlankLine() {
    assertThat(decode("id: 4\ndata: one")).isTrue();
    assertThat(decode("\n")).isTrue();
    assertThat(events).isEmpty();
    assertThat(decode("\n")).isTrue();
    assertThat(events).containsExactly("4|one");
  }

  @Test
  void appliesIdToItsOwnEventOnly() {
    decode("id:4\ndata:one\n\ndata:two\n\n");
    assertThat(events).containsExactly("4|one", "null|two");
  }

  @Test
  void joinsDataOfSeveralLines() {
    decode("data: one\ndata:  two\ndata\n\n");
    assertThat(events).containsExactly("null|one\n two\n");
  }

  @Test
  void countsEachLineEndOnceEvenWhenSplit() {
    decode("data:a\r");
    decode("\n\r");
    decode("\ndata:b\r\rdata:c\n\n");
    assertThat(events).containsExactly("null|a", "null|b", "null|c");
    assertThat(decoder.lineCount()).isEqualTo(6);
  }

  @Test
  void countsCommentsAndUnknownFieldsAsLinesOnly() {
    decode(": comment\nevent: x\nretry\n\n");
    assertThat(events).isEmpty();
    assertThat(decoder.lineCount()).isEqualTo(4);
  }

  @Test
  void decodesTheSameEventsFromSingleBytes() {
    String stream = "id:1\r\ndata:\u00e9t\u00e9\r\n\r\n:\n\ndata:b\rid\r\r";
    for (byte single : bytes(stream)) {
      decoder.decode(new byte[] {single}, (id, data) -> events.add(id + "|" + data));
    }
    assertThat(events).containsExactly("1|\u00e9t\u00e9", "|b");
  }

  @Test
  void decodesTheSameEventsWhereverTheStreamIsSplit() {
    byte[] stream =
        bytes(": hello\r\nid: 4\r\ndata: a\r\ndata: b\r\n\r\nid:5\ndata:c\n\ndata: cut off");
    for (int i = 0; i <= stream.length; i++) {
      ServerSentEventDecoder splitDecoder = new ServerSentEventDecoder(100);
      List<String> received = new ArrayList<>();
      ServerSentEventDecoder.EventHandler handler = (id, data) -> received.add(id + "=" + data);
      assertThat(splitDecoder.decode(Arrays.copyOf(stream, i), handler)).isTrue();
      assertThat(splitDecoder.decode(Arrays.copyOfRange(stream, i, stream.length), handler))
          .isTrue();
      assertThat(received).as("split at %d", i).containsExactly("4=a\nb", "5=c");
    }
    assertThat(
            new ServerSentEventDecoder(10).decode(bytes("data: more than ten"), (id, data) -> {}))
        .isFalse();
  }

  @Test
  void rejectsLineOrDataLongerThanMaximum() {
    assertThat(decode("x".repeat(MAX_BYTES))).isTrue();
    assertThat(decode("x")).isFalse();
    ServerSentEventDecoder dataDecoder = new ServerSentEventDecoder(MAX_BYTES);
    byte[] line = bytes("data:123456789\n");
    assertThat(dataDecoder.decode(line, (id, data) -> {})).isTrue();
    assertThat(dataDecoder.decode(line, (id, data) -> {})).isTrue();
    assertThat(dataDecoder.decode(line, (id, data) -> {})).isFalse();
  }
}

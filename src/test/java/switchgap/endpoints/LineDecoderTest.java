package switchgap.endpoints;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Lines that are split at any byte, and the maximum line length. */
class LineDecoderTest {
  private static final int MAX_LINE_BYTES = 4;

  private final LineDecoder decoder = new LineDecoder(MAX_LINE_BYTES);
  private final List<String> lines = new ArrayList<>();

  private boolean decode(String text) {
    return decoder.decode(text.getBytes(StandardCharsets.UTF_8), lines::add);
  }

  @Test
  void decodesLinesForAnySplitOfTheStream() {
    assertThat(decode("on")).isTrue();
    assertThat(decode("e\n\ntw")).isTrue();
    assertThat(decode("o\n")).isTrue();
    assertThat(lines).containsExactly("one", "", "two");
  }

  @Test
  void rejectsLineLongerThanMaximum() {
    assertThat(decode("four\n")).isTrue();
    assertThat(decode("fives\n")).isFalse();
    assertThat(lines).containsExactly("four");
  }
}

package switchgap.protocol.resp;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static switchgap.protocol.resp.RespTestStrings.bytes;
import static switchgap.protocol.resp.RespTestStrings.decode;
import static switchgap.protocol.resp.RespTestStrings.decodeInTwoParts;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests the decoder with streams that are split at every byte, and with lengths at and beyond each
 * limit.
 */
class RespDecoderTest {
  @Test
  void decodesSameArraysForAnySplitOfTheStream() throws Exception {
    byte[] twoArrays =
        bytes("*4\r\n$2\r\nid\r\n$4\r\ndata\r\n$1\r\n-\r\n$6\r\n\r\n$3\r\n\r\n*1\r\n$0\r\n\r\n");
    for (int i = 0; i <= twoArrays.length; i++) {
      assertThat(decodeInTwoParts(twoArrays, i))
          .as("split at %d", i)
          .containsExactly("id", "data", "-", "\r\n$3\r\n", "");
    }
  }

  @Test
  void decodesEncodedCommandToItsWords() throws Exception {
    byte[] commandWithBody = RespCommandEncoder.encodeWithBody(bytes("b\r\n"), "DO", "id", "-");
    assertThat(decodeInTwoParts(commandWithBody, 5)).containsExactly("DO", "id", "-", "b\r\n");
    assertThat(decode(RespCommandEncoder.encode("UNDO", "id"))).containsExactly("UNDO", "id");
  }

  @Test
  void rejectsStringLongerThanMaximum() throws Exception {
    assertThat(decodeInTwoParts(bytes("*1\r\n$64\r\n" + "x".repeat(64) + "\r\n"), 3)).hasSize(1);
    assertThatThrownBy(() -> decodeInTwoParts(bytes("*1\r\n$65\r\n"), 3))
        .isInstanceOf(MalformedReplyException.class);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "+OK\r\n",
        "*0\r\n",
        "*9\r\n",
        "*-1\r\n",
        "*1\r\n:3\r\n",
        "*1\r\n$3000000000\r\n",
        "*1\n",
        "*\r\n",
        "*1\r\n$2\r\nabc",
        "*1\r\n$2\r\nab\rx",
        "*111111111",
        "noise",
        "*1\r\n$-1\r\n"
      })
  void rejectsBytesThatAreNotAnArrayOfBulkStrings(String stream) {
    assertThatThrownBy(() -> decode(bytes(stream))).isInstanceOf(MalformedReplyException.class);
  }

  @Property(tries = 1000, seed = "42")
  void decodesOrRejectsRandomBytes(@ForAll @Size(max = 100) byte[] noise) {
    try {
      assertThat(decodeInTwoParts(noise, noise.length / 2)).hasSizeLessThanOrEqualTo(noise.length);
    } catch (MalformedReplyException e) {
      assertThat(e.getMessage()).isNotEmpty();
    }
  }
}
